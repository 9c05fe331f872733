#include "Tests/StandIns/ContractCase.h"

#include "Core/Common/ErrorCode.h"
#include "Tests/Support/BlockingHttpClient.h"
#include "Tests/Support/ChildProcess.h"

#include <boost/test/unit_test.hpp>

namespace rattancart {

namespace {

std::string withAddress(std::string Text, const NetAddress &Self) {
  constexpr std::string_view Mark = "$SELF";
  const std::size_t Position = Text.find(Mark);
  return Position == std::string::npos ? Text : Text.replace(Position, Mark.size(), Self.str());
}

int statusOf(const HttpResult &Result) {
  if (!Result.Error_)
    return static_cast<int>(Result.Response_.Status_);
  BOOST_TEST((Result.Error_ == ErrorCode::ConnectionClosed ||
              Result.Error_ == ErrorCode::ResponseTimeout));
  return Result.Error_ == ErrorCode::ResponseTimeout ? NoAnswer : ClosedUnanswered;
}

} // namespace

void runContract(const std::string &Program, const ContractCase &Case) {
  ChildProcess Process({Program, Case.Arguments_});
  BlockingHttpClient Http;
  for (const Exchange &Row : Case.Exchanges_) {
    BOOST_TEST_CONTEXT(Case.Name_ << ": " << Row.Method_ << " " << Row.Target_ << " "
                                  << Row.Body_.substr(0, 200)) {
      HttpRequest Request;
      Request.Method_ = Row.Method_;
      Request.Target_ = Row.Target_;
      Request.Body_ = withAddress(Row.Body_, Process.address());
      Http.setResponseTimeout(Row.Status_ == NoAnswer ? Duration(std::chrono::milliseconds(100))
                                                      : Duration(std::chrono::seconds(30)));
      const HttpResult Result = Http.send(Process.address(), std::move(Request));
      BOOST_TEST(statusOf(Result) == Row.Status_);
      const std::string &Body = Result.Response_.Body_;
      BOOST_TEST(Body.find(Row.Contains_) != std::string::npos, Body);
      BOOST_TEST((Row.Lacks_.empty() || Body.find(Row.Lacks_) == std::string::npos), Body);
    }
  }
}

} // namespace rattancart
