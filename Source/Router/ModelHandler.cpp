#include "Router/ModelHandler.h"

#include "Core/Common/CallerAnswer.h"
#include "Core/Common/ErrorCode.h"
#include "Router/ModelPrompt.h"
#include "Router/ModelSession.h"

#include <boost/json/array.hpp>

#include <utility>
#include <vector>

namespace rattancart {

ModelHandlerContext::ModelHandlerContext(RouterServices &Router, ModelHandlerOptions Settings)
    : Services_(Router), Options_(Settings), Prefixes_(Settings.MaxPrefixes_),
      Planner_(Router.Endpoints_, Load_,
               std::make_unique<AffinityPolicy>(Settings.Chain_, Prefixes_), Router.Random_),
      StepTimeouts_(Settings.StepTimeout_), Suspects_(Settings.SuspectDuration_) {}

ModelHandler::ModelHandler(RouterServices &Services, ModelHandlerOptions Options)
    : Shared_(Services, Options) {}
ModelHandler::~ModelHandler() = default;

void ModelHandler::refuse(const RoutedRequest &Request, const Error &Reason, std::uint32_t Status) {
  Shared_.Services_.Log_.log(LogEvent::RequestRefused,
                             {{"request", Request.Id_.str()}, {"error", Reason.Code_.value()}});
  CallerAnswer Answer;
  Answer.Status_ = Status;
  Answer.Outcome_ = Outcome::NotRun;
  Answer.Error_ = Reason.Code_;
  Answer.Detail_ = Reason.Detail_;
  sendAnswer(*Request.Responder_, Request.Id_, Answer);
  if (Request.OnFinished_)
    Request.OnFinished_({Status, Outcome::NotRun, 0});
}

void ModelHandler::handle(RoutedRequest Request) {
  const Route &Matched = *Request.Route_;
  const ModelSpec *Spec =
      Matched.Model_ ? Request.View_->findModel(*Matched.Model_, Matched.Version_) : nullptr;
  if (!Spec)
    return refuse(Request, {ErrorCode::UnknownModel, Matched.Id_.str()}, 503);
  auto Prompt = parsePrompt(Request.Http_, Shared_.Options_.MaxPromptTokens_);
  if (!Prompt)
    return refuse(Request, Prompt.error(), 400);
  const std::size_t Bytes = Prompt->heapBytes();
  if (PromptBytes_ + Bytes > Shared_.Options_.MaxPromptBytes_)
    return refuse(Request, {ErrorCode::Overloaded, "prompts in flight"}, 503);

  PromptBytes_ += Bytes;
  const RequestId Id = Request.Id_;
  const auto Session =
      std::make_shared<ModelSession>(Shared_, std::move(Request), std::move(*Prompt), *Spec);
  Sessions_[Id] = Session;
  Session->start([this, Id, Bytes] {
    PromptBytes_ -= Bytes;
    Sessions_.erase(Id);
  });
}

void ModelHandler::onViewChanged() {
  std::vector<std::shared_ptr<ModelSession>> Current;
  Current.reserve(Sessions_.size());
  for (const auto &[Id, Session] : Sessions_)
    Current.push_back(Session);
  for (const auto &Session : Current)
    Session->checkEndpoints();
}

boost::json::object ModelHandler::state() const {
  const ModelHandlerStats &Stats = Shared_.Stats_;
  boost::json::object Dump;
  Dump["finished"] = Stats.Finished_;
  Dump["failed"] = Stats.Failed_;
  Dump["cancelled"] = Stats.Cancelled_;
  Dump["attempts"] = Stats.Attempts_;
  Dump["steps"] = Stats.Steps_;
  Dump["stale_steps"] = Stats.StaleSteps_;
  Dump["connection_retries"] = Stats.ConnectionRetries_;
  Dump["suspicions"] = Stats.Suspicions_;
  Dump["slow_readers"] = Stats.SlowReaders_;
  Dump["prefixes"] = Shared_.Prefixes_.size();
  Dump["prompt_bytes"] = PromptBytes_;
  const Duration Decode = Shared_.StepTimeouts_.timeout(1);
  Dump["decode_deadline_us"] =
      std::chrono::duration_cast<std::chrono::microseconds>(Decode).count();
  boost::json::array Requests;
  for (const auto &[Id, Session] : Sessions_)
    Requests.emplace_back(Session->state());
  Dump["requests"] = std::move(Requests);
  return Dump;
}

} // namespace rattancart
