#include "relay/relay.h"

#include <algorithm>

#include "errors/parse_error.h"

namespace peargrade::relay {

Relay::Relay(event_base* base, const net::Address& address, const Names& names, int slices,
             std::uint64_t seed, dispatch::Dispatcher& exchange, log::Log& log, Limits limits)
    : base_(base),
      address_(address),
      names_(names),
      slices_(slices),
      dispatcher_(exchange),
      log_(log),
      limits_(limits),
      newsBackoff_(limits.redialLeast, limits.redialMost, seed),
      newsRedial_(base, [this] { dialNews(); }),
      gather_(base, [this] { handOn(); }),
      answers_(limits.line),
      calls_(limits.orders),
      callBackoff_(limits.redialLeast, limits.redialMost, seed + 1),
      callRedial_(base, [this] { push(); }),
      answerLimit_(base, [this] { endCalls(log::CloseReason::NoAnswer, "call not answered"); }) {
  calls_.onTaken([this](const Order& order) { book_.taken(order); });
  dispatcher_.onTableUpdate([this](const dispatch::Dispatcher::TableUpdate& actions) { order(actions); });
  dialNews();
}

Relay::~Relay() {
  dispatcher_.onTableUpdate(nullptr);
  for (const auto* watch : {news_.get(), coming_.get()}) {
    if (watch != nullptr) log_.ended("relay", watch->at.text() + " news", log::CloseReason::Stopping, "");
  }
  if (line_) log_.ended("relay", lineAt_.text() + " calls", log::CloseReason::Stopping, "");
}

// ---- News ----

Relay::Watch::Watch(Relay& owner, const net::Address& at)
    : at(at),
      lines(owner.limits_.line),
      silence(owner.base_,
              [this, &owner] { owner.endNews(*this, log::CloseReason::Silent, "no sign of life"); }),
      stream(std::make_unique<net::Stream>(
          owner.base_, at, owner.limits_.connect,
          net::Stream::Handlers{[this] { stream->send("WATCH\r\n"); },
                                [this, &owner](evbuffer* input) { owner.onNews(*this, input); },
                                [this, &owner](log::CloseReason reason, const std::string& detail) {
                                  owner.endNews(*this, reason, detail);
                                }})) {
  silence.schedule(owner.limits_.newsSilence);
}

void Relay::dialNews() { coming_ = std::make_unique<Watch>(*this, address_); }

void Relay::moveTo(const net::Address& address) {
  if (address.text() == address_.text()) return;
  address_ = address;
  newsBackoff_.reset();
  newsRedial_.cancel();
  if (coming_)
    log_.ended("relay", coming_->at.text() + " news", log::CloseReason::Moved, "to " + address_.text());
  dialNews();
}

void Relay::onNews(Watch& watch, evbuffer* input) {
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  watch.lines.add(bytes.data(), bytes.size());
  std::string line;
  while (watch.lines.next(line)) {
    watch.silence.schedule(limits_.newsSilence);  // bytes that end no line are no sign of life
    if (!(&watch == coming_.get() ? onNewsOpen(watch, line) : onNewsLine(watch, line))) return;
  }
  if (watch.lines.tooLong()) endNews(watch, log::CloseReason::TooLong, "line of news");
}

// WATCH is answered: these news serve from now on, and what served at a former address ends.
bool Relay::onNewsOpen(Watch& watch, const std::string& line) {
  if (line.compare(0, 2, "OK") != 0) {
    endNews(watch, log::CloseReason::BadAnswer, "to WATCH: " + line.substr(0, 80));
    return false;
  }
  if (news_)
    log_.ended("relay", news_->at.text() + " news", log::CloseReason::Moved, "to " + watch.at.text());
  handOn();
  news_ = std::move(coming_);
  openedAt_ = net::steadyNow();
  book_.begin(calls_.doubted(), !calls_.doubted().empty());
  if (calls_.inCall()) book_.sent(calls_.flight());
  dispatcher_.relayConnected();
  leaveLine();
  return true;
}

bool Relay::onNewsLine(Watch& watch, const std::string& line) {
  try {
    const News news = parseNews(line, names_, slices_);
    if (log_.shows(log::Level::Debug)) log_.debug("relay") << line;
    // Guards against a spoilt answer that would settle a call in doubt: only a proxy that is there has
    // applied it.
    const auto* applied = std::get_if<UpdateAcknowledged>(&news);
    if (applied != nullptr && book_.holds(applied->proxy)) calls_.applied(applied->updateId);
    const std::size_t before = held_.size();
    book_.take(news, held_);
    const bool life = std::holds_alternative<SignOfLife>(news);
    if (life && book_.settling() && net::steadyNow() - openedAt_ > limits_.settleAfter) {
      book_.settle(held_);
      newsBackoff_
          .reset();  // not before: a relay that answers and breaks off at once is not dialled in a spin
    }
    if (book_.doubtCarriedOut()) calls_.carriedOut();
    if (!calls_.missed()) tell();
    if (held_.size() == before) return true;
    // Guards against a decision on a slice whose lines are still on their way: it would look like one that
    // has no table. All that comes in one go is handed on together, in the order it came.
    const bool part =
        std::holds_alternative<SliceAssignment>(news) || std::holds_alternative<StoredRoute>(news);
    const Micros now = net::steadyNow();
    if (before == 0) heldSince_ = now;
    if (part)
      gather_.schedule(std::min(limits_.gather, heldSince_ + limits_.gatherMost - now));
    else if (!gather_.isScheduled())
      handOn();
    return true;
  } catch (const ParseError& e) {
    // A spoilt answer to a mark costs that answer alone: the next one covers it. Of other news none may be
    // missed: a new stream repeats what stands.
    if (line.compare(0, 6, "* done") == 0) {
      ++unusable_;
      if ((unusable_ & (unusable_ - 1)) == 0)  // said at 1, 2, 4, 8 ...
        log_.warn("relay") << unusable_ << " answers to marks left out; the last: " << e.what();
      return true;
    }
    endNews(watch, log::CloseReason::BadMessage, e.what());
    return false;
  }
}

void Relay::handOn() {
  gather_.cancel();
  for (Event& event : held_) dispatcher_.post(std::move(event));
  held_.clear();
}

void Relay::endNews(Watch& watch, log::CloseReason reason, const std::string& detail) {
  handOn();
  log_.ended("relay", watch.at.text() + " news", reason, detail);
  // It may be the limit of this watch that calls: its memory goes with the next one that ends.
  gone_ = std::move(&watch == coming_.get() ? coming_ : news_);
  gone_->silence.cancel();
  gone_->stream.reset();
  if (!coming_) newsRedial_.schedule(newsBackoff_.next());
}

// ---- Calls ----

void Relay::order(const dispatch::Dispatcher::TableUpdate& actions) {
  std::vector<Order> reply;
  for (const Action& action : actions) {
    if (auto order = toOrder(action, names_)) reply.push_back(std::move(*order));
  }
  calls_.add(std::move(reply));
  push();
}

// Tells what became of a reply as soon as it is known. What was missed is told when the relay can be reached:
// it is then ordered anew, as things stand by then.
void Relay::tell() {
  if (!calls_.ended()) return;
  const Calls::Fate fate = calls_.tell();
  dispatcher_.post(UpdateDelivery{
      fate.mark, fate.taken ? DeliveryOutcome::Accepted : DeliveryOutcome::Incomplete, fate.messages});
}

// Sends the next call if there is one and nothing is in its way; dials first where needed.
void Relay::push() {
  if (!calls_.wants() || callRedial_.isScheduled()) return;
  if (!line_) {
    answers_ = net::LineSplitter(limits_.line);
    lineAt_ = address_;
    lineServed_ = false;
    line_ = std::make_unique<net::Stream>(
        base_, address_, limits_.connect,
        net::Stream::Handlers{
            [this] { push(); }, [this](evbuffer* input) { onAnswer(input); },
            [this](log::CloseReason r, const std::string& detail) { endCalls(r, detail); }});
    return;
  }
  if (!line_->up()) return;
  if (calls_.missed()) return tell();
  // Guards against a call that crosses what the relay has just done here: written behind its close it would
  // be in doubt, written behind a second answer to the call before it would take that for its own.
  const net::Stream::Waiting waiting = line_->waiting();
  if (waiting != net::Stream::Waiting::Nothing) {
    line_.reset();
    if (waiting == net::Stream::Waiting::Bytes)
      log_.ended("relay", lineAt_.text() + " calls", log::CloseReason::BadAnswer, "answer to no call");
    else
      log_.ended("relay", lineAt_.text() + " calls", log::CloseReason::IdleClosed, "");
    return callRedial_.schedule(lineServed_ ? 0 : callBackoff_.next());
  }
  const std::string call = calls_.begin();
  book_.sent(calls_.flight());
  if (log_.shows(log::Level::Debug)) log_.debug("relay") << call.substr(0, call.size() - 2);
  line_->send(call);
  answerLimit_.schedule(limits_.answer);
}

// After a move: the connection at the former address is left once its call, if there is one, has been
// answered.
void Relay::leaveLine() {
  if (!line_ || calls_.inCall() || !news_ || lineAt_.text() == news_->at.text()) return;
  line_.reset();
  log_.ended("relay", lineAt_.text() + " calls", log::CloseReason::Moved, "to " + news_->at.text());
  push();
}

void Relay::onAnswer(evbuffer* input) {
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  answers_.add(bytes.data(), bytes.size());
  std::string line;
  while (answers_.next(line)) {
    if (!calls_.inCall()) return endCalls(log::CloseReason::BadAnswer, "answer to no call");
    answerLimit_.cancel();
    lineServed_ = true;
    if (log_.shows(log::Level::Debug)) log_.debug("relay") << "answer " << line.substr(0, 80);
    switch (calls_.answered(line)) {
      case Calls::Outcome::Taken:
        callBackoff_.reset();
        tell();
        break;
      case Calls::Outcome::Halted:
        log_.warn("relay") << "order not taken, tried once more: " << calls_.skipped();
        break;
      case Calls::Outcome::Skipped:
        log_.warn("relay") << "order not taken, left out: " << calls_.skipped();
        break;
      case Calls::Outcome::Throttled:
        callRedial_.schedule(limits_.throttled);
        break;
      case Calls::Outcome::Invalid:
        log_.error("relay") << "call answered 'invalid' again and again, dropped; it began: "
                            << calls_.skipped();
        tell();
        break;
      case Calls::Outcome::Unreadable:
        return endCalls(log::CloseReason::BadAnswer, line.substr(0, 80));
    }
  }
  if (answers_.tooLong()) return endCalls(log::CloseReason::TooLong, "answer");
  leaveLine();
  push();
}

void Relay::endCalls(log::CloseReason reason, const std::string& detail) {
  if (!line_) return;
  const bool wasUp = line_->up();
  line_.reset();
  answerLimit_.cancel();
  if (reason == log::CloseReason::PeerClosed && !calls_.inCall()) reason = log::CloseReason::IdleClosed;
  const bool doubt = calls_.inCall();
  calls_.broken();
  log_.ended("relay", lineAt_.text() + " calls", reason, doubt ? detail + " call in doubt" : detail);
  if (!calls_.wants()) return;
  if (wasUp && reason == log::CloseReason::IdleClosed) return push();
  callRedial_.schedule(callBackoff_.next());
}

}  // namespace peargrade::relay
