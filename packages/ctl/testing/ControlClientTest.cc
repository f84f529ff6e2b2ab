// Guards against a resend with another command id, which could apply a command twice (R26), against
// a client that fails although a daemon is reachable, and against misparsed settings.

#include <fstream>
#include <memory>

#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QJsonDocument>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTemporaryDir>

#include "ctl/ControlClient.h"

namespace camphorcleat::ctl {
namespace {

// Qt requires the application object before the first socket.
const QCoreApplication& application()
{
  static int sCount = 1;
  static char sName[] = "ctl_test";
  static char* sArguments[] = { sName, nullptr };
  static const QCoreApplication sApplication(sCount, sArguments);
  return sApplication;
}

// A stand-in for the operator server of a daemon. It runs on the event loop of the client.
class OperatorServerStandIn
{
public:
  enum class Behaviour
  {
    Respond,
    CloseWithoutResponse, // The command may have been applied.
    NeverRespond,
  };

  OperatorServerStandIn(Behaviour aBehaviour, QByteArray aResponse = {})
    : mBehaviour(aBehaviour)
    , mResponse(std::move(aResponse))
  {
    application();
    mServer = std::make_unique<QTcpServer>();
    REQUIRE(mServer->listen(QHostAddress::LocalHost));
    QObject::connect(mServer.get(), &QTcpServer::newConnection, [this] { accept(); });
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(mServer->serverPort()); }
  const std::vector<QJsonObject>& received() const { return mReceived; }

private:
  void accept()
  {
    QTcpSocket* socket = mServer->nextPendingConnection();
    QObject::connect(socket, &QTcpSocket::readyRead, [this, socket] { read(socket); });
  }

  void read(QTcpSocket* aSocket)
  {
    mBuffer += aSocket->readAll();
    const qsizetype headEnd = mBuffer.indexOf("\r\n\r\n");
    const QJsonDocument body = QJsonDocument::fromJson(mBuffer.mid(headEnd + 4));
    if (headEnd < 0 || body.isNull()) {
      return;
    }
    mBuffer.clear();
    mReceived.push_back(body.object());
    if (mBehaviour == Behaviour::Respond) {
      // A refusal has a status other than 200.
      aSocket->write("HTTP/1.1 409 Refused\r\nContent-Length: " +
                     QByteArray::number(mResponse.size()) + "\r\n\r\n" + mResponse);
    } else if (mBehaviour == Behaviour::CloseWithoutResponse) {
      aSocket->abort();
    }
  }

  Behaviour mBehaviour;
  QByteArray mResponse;
  std::unique_ptr<QTcpServer> mServer;
  QByteArray mBuffer;
  std::vector<QJsonObject> mReceived;
};

CtlSettings settingsFor(std::vector<std::string> aAddresses, Millis aTimeout = Millis(5000))
{
  application();
  CtlSettings out;
  out.addresses = std::move(aAddresses);
  out.operatorName = "ana";
  out.timeout = aTimeout;
  return out;
}

using Outcome = std::variant<CtlSettings, ExitCode>;

// Returns the settings of a command line, or the error message.
std::variant<Outcome, std::string> parseCommandLine(std::vector<std::string> aWords)
{
  aWords.insert(aWords.begin(), "camphorcleatctl");
  std::vector<char*> arguments;
  arguments.reserve(aWords.size());
  for (auto& it : aWords) {
    arguments.push_back(it.data());
  }
  using Read = std::variant<Outcome, std::string>;
  return orElse(
    [&]() -> Result<Read> {
      BOOST_LEAF_AUTO(outcome, readSettings(static_cast<int>(arguments.size()), arguments.data()));
      return Read(std::move(outcome));
    },
    [](const ErrorInfo& aInfo) { return Read(aInfo.message); });
}

CtlSettings settingsOf(const std::vector<std::string>& aWords)
{
  return std::get<CtlSettings>(std::get<Outcome>(parseCommandLine(aWords)));
}

} // namespace

TEST_CASE("a lost response and a daemon without quorum cause a resend with the same command id")
{
  const OperatorServerStandIn closing(OperatorServerStandIn::Behaviour::CloseWithoutResponse);
  const OperatorServerStandIn withoutQuorum(OperatorServerStandIn::Behaviour::Respond,
                                            R"({"code":"no_quorum","message":"m"})");
  const OperatorServerStandIn healthy(
    OperatorServerStandIn::Behaviour::Respond,
    R"({"code":"none","message":"","revision":7,"result":{"a":1}})");
  CtlSettings settings =
    settingsFor({ closing.address(), withoutQuorum.address(), healthy.address() });
  settings.expectedRevision = 6;
  ControlClient client(settings);
  const auto response = client.send("zone out a", "id-1");
  REQUIRE(response);
  REQUIRE(response->code == "none");
  REQUIRE(response->revision == 7);
  REQUIRE(response->result["a"].toInt() == 1);
  REQUIRE_FALSE(closing.received().empty());
  for (const OperatorServerStandIn* it : { &closing, &withoutQuorum, &healthy }) {
    for (const auto& body : it->received()) {
      REQUIRE(body["command_id"].toString() == "id-1");
      REQUIRE(body["statement"].toString() == "zone out a");
      REQUIRE(body["operator"].toString() == "ana");
      REQUIRE(body["expect_revision"].toInt() == 6);
      REQUIRE(body["dry_run"].toBool() == false);
    }
  }
}

TEST_CASE("a refused statement is not resent")
{
  const OperatorServerStandIn daemon(OperatorServerStandIn::Behaviour::Respond,
                                     R"({"code":"revision_conflict","message":"m","revision":9})");
  ControlClient client(settingsFor({ daemon.address() }));
  const auto response = client.send("zone out a", "id-1");
  REQUIRE(response);
  REQUIRE(response->code == "revision_conflict");
  REQUIRE(daemon.received().size() == 1);
}

TEST_CASE("an unresponsive daemon leaves time for the other addresses (R29)")
{
  const OperatorServerStandIn unresponsive(OperatorServerStandIn::Behaviour::NeverRespond);
  const OperatorServerStandIn healthy(OperatorServerStandIn::Behaviour::Respond,
                                      R"({"code":"none"})");
  ControlClient client(settingsFor({ unresponsive.address(), healthy.address() }, Millis(3000)));
  REQUIRE(client.send("show status", "id-1"));
}

TEST_CASE("without any response send() fails with an unknown outcome within the timeout")
{
  const OperatorServerStandIn unresponsive(OperatorServerStandIn::Behaviour::NeverRespond);
  const TimePoint begin = Clock::now();
  const std::string message = orElse(
    [&]() -> Result<std::string> {
      ControlClient client(settingsFor({ unresponsive.address(), "127.0.0.1:1" }, Millis(1200)));
      BOOST_LEAF_CHECK(client.send("zone out a", "id-1"));
      return std::string();
    },
    [](const ErrorInfo& aInfo) {
      return std::string(enumName(aInfo.code)) + ": " + aInfo.message;
    });
  REQUIRE(message.find("outcome_unknown: no answer") == 0);
  REQUIRE(message.find("--command-id id-1") != std::string::npos);
  REQUIRE(Clock::now() - begin < std::chrono::seconds(4));
}

TEST_CASE("the command line overrides the settings file, and errors name their line")
{
  QTemporaryDir folder;
  const std::string path = folder.filePath("ctl.ini").toStdString();
  std::ofstream(path) << "[ctl]\nconnect = 10.0.0.1:80,10.0.0.2:80\noperator = beka\n";
  const CtlSettings fromFile = settingsOf({ "--config", path, "show", "status" });
  REQUIRE(fromFile.addresses == std::vector<std::string>{ "10.0.0.1:80", "10.0.0.2:80" });
  REQUIRE(fromFile.operatorName == "beka");
  const CtlSettings both = settingsOf(
    { "--config", path, "--connect", "[::1]:80", "--operator", "ana", "--expect-revision", "3" });
  REQUIRE(both.addresses == std::vector<std::string>{ "[::1]:80" });
  REQUIRE(both.operatorName == "ana");
  REQUIRE(both.expectedRevision == Revision{ 3 });
  std::ofstream(path) << "[ctl]\nconnect = nowhere\ncolour = red\n";
  const auto faults =
    std::get<std::string>(parseCommandLine({ "--config", path, "--check-config" }));
  REQUIRE(faults.find(":2: [ctl] connect") != std::string::npos);
  REQUIRE(faults.find(":3: [ctl] colour") != std::string::npos);
  REQUIRE(std::get<ExitCode>(std::get<Outcome>(parseCommandLine({ "--no-such-option" }))) ==
          ExitCode::UsageError);
}

TEST_CASE("the words of a command line are joined into one statement; addresses are checked")
{
  REQUIRE(joinWords({ "zone out a; zone in b" }) == "zone out a; zone in b");
  REQUIRE(joinWords({ "pin", "key", "s", "a \"b\"; c" }) == "pin key s \"a \\\"b\\\"; c\"");
  for (const char* it : { "127.0.0.1", "127.0.0.1:0", "127.0.1:80", "host:80", "::1:80", ":80" }) {
    CAPTURE(it);
    REQUIRE_FALSE(isAddress(it));
  }
}

} // namespace camphorcleat::ctl
