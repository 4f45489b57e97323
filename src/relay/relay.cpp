#include "relay/relay.h"

#include <algorithm>

#include "wire/malformed.h"

namespace peargrade::relay {

Relay::Relay(event_base* base, const net::Address& address, const Names& names, int slices,
             std::uint64_t seed, exchange::Exchange& exchange, log::Log& log, Limits limits)
    : base_(base),
      address_(address),
      names_(names),
      slices_(slices),
      exchange_(exchange),
      log_(log),
      limits_(limits),
      newsLines_(limits.line),
      newsBackoff_(limits.redialLeast, limits.redialMost, seed),
      newsRedial_(base, [this] { dialNews(); }),
      gather_(base, [this] { handOn(); }),
      newsSilence_(base, [this] { endNews(log::Reason::Silent, "no sign of life"); }),
      answers_(limits.line),
      callBackoff_(limits.redialLeast, limits.redialMost, seed + 1),
      callRedial_(base, [this] { push(); }),
      answerLimit_(base, [this] { endCalls(log::Reason::NoAnswer, "call not answered"); }) {
  calls_.onTaken([this](const Order& order) { book_.taken(order); });
  exchange_.onOrders([this](const exchange::Exchange::Orders& actions) { order(actions); });
  dialNews();
}

Relay::~Relay() {
  exchange_.onOrders(nullptr);
  if (news_) log_.ended("relay", address_.text() + " news", log::Reason::Stopping, "");
  if (line_) log_.ended("relay", address_.text() + " calls", log::Reason::Stopping, "");
}

// ---- News ----

void Relay::dialNews() {
  newsLines_ = net::Lines(limits_.line);
  newsOpen_ = false;
  news_ = std::make_unique<net::Stream>(
      base_, address_, limits_.connect,
      net::Stream::Handlers{[this] { news_->send("WATCH\r\n"); }, [this](evbuffer* input) { onNews(input); },
                            [this](log::Reason r, const std::string& detail) { endNews(r, detail); }});
  newsSilence_.in(limits_.newsSilence);
}

void Relay::onNews(evbuffer* input) {
  newsSilence_.in(limits_.newsSilence);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  newsLines_.add(bytes.data(), bytes.size());
  std::string line;
  while (newsLines_.next(line)) {
    if (!onNewsLine(line)) return;
  }
  if (newsLines_.tooLong()) endNews(log::Reason::TooLong, "line of news");
}

bool Relay::onNewsLine(const std::string& line) {
  if (!newsOpen_) {
    if (line.compare(0, 2, "OK") != 0) {
      endNews(log::Reason::BadAnswer, "to WATCH: " + line.substr(0, 80));
      return false;
    }
    newsOpen_ = true;
    openedAt_ = net::steadyNow();
    book_.begin(calls_.flight(), calls_.inDoubt());
    exchange_.relayUp();
    return true;
  }
  try {
    const News news = parseNews(line, names_, slices_);
    if (log_.shows(log::Level::Debug)) log_.debug("relay") << line;
    if (const auto* applied = std::get_if<OrderApplied>(&news)) calls_.applied(applied->mark);
    const std::size_t before = held_.size();
    book_.take(news, held_);
    const bool life = std::holds_alternative<SignOfLife>(news);
    if (life && book_.settling() && net::steadyNow() - openedAt_ > limits_.settleAfter) {
      book_.settle(held_);
      newsBackoff_
          .reset();  // not before: a relay that answers and breaks off at once is not dialled in a spin
    }
    if (book_.doubtCarriedOut()) calls_.carriedOut();
    if (held_.size() == before) return true;
    // Guards against a decision on a slice whose lines are still on their way: it would look like one that
    // has no table. All that comes in one go is handed on together, in the order it came.
    const bool part = std::holds_alternative<SliceCharge>(news) || std::holds_alternative<StoredLine>(news);
    const Micros now = net::steadyNow();
    if (before == 0) heldSince_ = now;
    if (part)
      gather_.in(std::min(limits_.gather, heldSince_ + limits_.gatherMost - now));
    else if (!gather_.set())
      handOn();
    return true;
  } catch (const wire::Malformed& e) {
    endNews(log::Reason::BadMessage, e.what());
    return false;
  }
}

void Relay::handOn() {
  gather_.cancel();
  for (Event& event : held_) exchange_.post(std::move(event));
  held_.clear();
}

void Relay::endNews(log::Reason reason, const std::string& detail) {
  if (!news_) return;
  handOn();
  news_.reset();
  newsSilence_.cancel();
  log_.ended("relay", address_.text() + " news", reason, detail);
  newsRedial_.in(newsBackoff_.next());
}

// ---- Calls ----

void Relay::order(const exchange::Exchange::Orders& actions) {
  std::vector<Order> reply;
  for (const Action& action : actions) {
    if (auto order = toOrder(action, names_)) reply.push_back(std::move(*order));
  }
  calls_.add(std::move(reply));
  push();
}

// Sends the next call if there is one and nothing is in its way; dials first where needed.
void Relay::push() {
  if (!calls_.wants() || callRedial_.set()) return;
  if (!line_) {
    answers_ = net::Lines(limits_.line);
    line_ = std::make_unique<net::Stream>(
        base_, address_, limits_.connect,
        net::Stream::Handlers{[this] { push(); }, [this](evbuffer* input) { onAnswer(input); },
                              [this](log::Reason r, const std::string& detail) { endCalls(r, detail); }});
    return;
  }
  if (!line_->up()) return;
  const std::string call = calls_.begin();
  book_.sent(calls_.flight());
  if (log_.shows(log::Level::Debug)) log_.debug("relay") << call.substr(0, call.size() - 2);
  line_->send(call);
  answerLimit_.in(limits_.answer);
}

void Relay::onAnswer(evbuffer* input) {
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  answers_.add(bytes.data(), bytes.size());
  std::string line;
  while (answers_.next(line)) {
    if (!calls_.inCall()) return endCalls(log::Reason::BadAnswer, "answer to no call");
    answerLimit_.cancel();
    switch (calls_.answered(line)) {
      case Calls::Outcome::Taken:
        callBackoff_.reset();
        break;
      case Calls::Outcome::Skipped:
        log_.warn("relay") << "order not taken, left out: " << calls_.skipped();
        break;
      case Calls::Outcome::Throttled:
        callRedial_.in(limits_.throttled);
        break;
      case Calls::Outcome::Invalid:
        log_.error("relay") << "call answered 'invalid', dropped; it began: " << calls_.skipped();
        break;
      case Calls::Outcome::Unreadable:
        return endCalls(log::Reason::BadAnswer, line.substr(0, 80));
    }
  }
  if (answers_.tooLong()) return endCalls(log::Reason::TooLong, "answer");
  push();
}

void Relay::endCalls(log::Reason reason, const std::string& detail) {
  if (!line_) return;
  const bool wasUp = line_->up();
  line_.reset();
  answerLimit_.cancel();
  if (reason == log::Reason::PeerClosed && !calls_.inCall()) reason = log::Reason::IdleClosed;
  const bool doubt = calls_.inCall();
  calls_.broken();
  log_.ended("relay", address_.text() + " calls", reason, doubt ? detail + " call in doubt" : detail);
  if (!calls_.wants()) return;
  if (wasUp && reason == log::Reason::IdleClosed) return push();
  callRedial_.in(callBackoff_.next());
}

}  // namespace peargrade::relay
