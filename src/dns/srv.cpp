#include "dns/srv.h"

#include <algorithm>

namespace peargrade::dns {

std::vector<Question> SrvLookup::onResult(const Question& question, const Result& result) {
  std::vector<Question> next;
  if (question == srvQuestion()) {
    hasSrvResult_ = true;
    srv_ = result;
    // A stale list is not used: service() reports the lookup as failed.
    if (result.kind != Result::Kind::Data || result.stale) return next;
    for (const Record& record : result.records) {
      // A target of "." means that the service is not available (RFC 2782).
      if (record.value.empty() || !isName(record.value) || addresses_.count(record.value) != 0) continue;
      addresses_[record.value];
      for (const Type type : {Type::A, Type::AAAA}) next.push_back({record.value, type});
    }
    pendingResults_ = next.size();
    return next;
  }
  const auto at = addresses_.find(question.name);
  if (at == addresses_.end() || at->second.count(question.type) != 0) return next;
  at->second[question.type] = result;
  --pendingResults_;
  return next;
}

Service SrvLookup::service() const {
  Service service;
  service.verdict = srv_.verdict;
  service.asOf = srv_.asOf;
  service.until = srv_.until;
  if (srv_.kind == Result::Kind::Failed || srv_.stale) return service;
  service.kind = srv_.complete ? Service::Kind::Complete : Service::Kind::Partial;
  for (const Record& record : srv_.records) {
    const auto at = addresses_.find(record.value);
    if (at == addresses_.end()) {
      if (!record.value.empty()) service.kind = Service::Kind::Partial;  // the target name is invalid
      continue;
    }
    Target target;
    target.name = record.value;
    target.priority = record.priority;
    target.weight = record.weight;
    target.port = record.port;
    target.until = srv_.until;
    for (const auto& [type, result] : at->second) {
      target.sure = target.sure && result.kind != Result::Kind::Failed && result.complete && !result.stale;
      if (result.kind != Result::Kind::Data) continue;
      if (!result.stale) target.until = std::min(target.until, result.until);
      for (const Record& address : result.records) {
        target.addresses.push_back(type == Type::AAAA ? "[" + address.value + "]" : address.value);
      }
    }
    service.targets.push_back(std::move(target));
  }
  return service;
}

}  // namespace peargrade::dns
