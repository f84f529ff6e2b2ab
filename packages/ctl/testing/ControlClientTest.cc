// Guards against a resend with another command id, which could apply a command twice (R26), against
// a client that gives up while a daemon is reachable, and against misread settings.

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

// Sockets need it before they are made.
const QCoreApplication& application()
{
  static int sCount = 1;
  static char sName[] = "ctl_test";
  static char* sArguments[] = { sName, nullptr };
  static const QCoreApplication sApplication(sCount, sArguments);
  return sApplication;
}

// Stands in for a daemon's operator server, on the event loop of the client.
class StandIn
{
public:
  enum class Behaviour
  {
    Answer,
    CloseWithoutAnswer, // The command may have been applied.
    Silent,
  };

  StandIn(Behaviour aBehaviour, QByteArray aAnswer = {})
    : mBehaviour(aBehaviour)
    , mAnswer(std::move(aAnswer))
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
    const qsizetype head = mBuffer.indexOf("\r\n\r\n");
    const QJsonDocument body = QJsonDocument::fromJson(mBuffer.mid(head + 4));
    if (head < 0 || body.isNull()) {
      return;
    }
    mBuffer.clear();
    mReceived.push_back(body.object());
    if (mBehaviour == Behaviour::Answer) {
      // A refusal comes with another status than 200.
      aSocket->write("HTTP/1.1 409 Refused\r\nContent-Length: " +
                     QByteArray::number(mAnswer.size()) + "\r\n\r\n" + mAnswer);
    } else if (mBehaviour == Behaviour::CloseWithoutAnswer) {
      aSocket->abort();
    }
  }

  Behaviour mBehaviour;
  QByteArray mAnswer;
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

// The settings of a command line, or the message of its failure.
std::variant<Outcome, std::string> readLine(std::vector<std::string> aWords)
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
  return std::get<CtlSettings>(std::get<Outcome>(readLine(aWords)));
}

} // namespace

TEST_CASE("a lost answer and a daemon without quorum lead to the next address with one command id")
{
  const StandIn lossy(StandIn::Behaviour::CloseWithoutAnswer);
  const StandIn cutOff(StandIn::Behaviour::Answer, R"({"code":"no_quorum","message":"m"})");
  const StandIn good(StandIn::Behaviour::Answer,
                     R"({"code":"none","message":"","revision":7,"result":{"a":1}})");
  CtlSettings settings = settingsFor({ lossy.address(), cutOff.address(), good.address() });
  settings.expectedRevision = 6;
  ControlClient client(settings);
  const auto answer = client.send("zone out a", "id-1");
  REQUIRE(answer);
  REQUIRE(answer->code == "none");
  REQUIRE(answer->revision == 7);
  REQUIRE(answer->result["a"].toInt() == 1);
  REQUIRE_FALSE(lossy.received().empty());
  for (const StandIn* it : { &lossy, &cutOff, &good }) {
    for (const auto& body : it->received()) {
      REQUIRE(body["command_id"].toString() == "id-1");
      REQUIRE(body["statement"].toString() == "zone out a");
      REQUIRE(body["operator"].toString() == "ana");
      REQUIRE(body["expect_revision"].toInt() == 6);
      REQUIRE(body["dry_run"].toBool() == false);
    }
  }
}

TEST_CASE("a refusal is final and is not sent again")
{
  const StandIn daemon(StandIn::Behaviour::Answer,
                       R"({"code":"revision_conflict","message":"m","revision":9})");
  ControlClient client(settingsFor({ daemon.address() }));
  const auto answer = client.send("zone out a", "id-1");
  REQUIRE(answer);
  REQUIRE(answer->code == "revision_conflict");
  REQUIRE(daemon.received().size() == 1);
}

TEST_CASE("a silent daemon leaves time for the others (R29)")
{
  const StandIn silent(StandIn::Behaviour::Silent);
  const StandIn good(StandIn::Behaviour::Answer, R"({"code":"none"})");
  ControlClient client(settingsFor({ silent.address(), good.address() }, Millis(3000)));
  REQUIRE(client.send("show status", "id-1"));
}

TEST_CASE("without any answer the outcome is unknown, within the timeout")
{
  const StandIn silent(StandIn::Behaviour::Silent);
  const TimePoint begin = Clock::now();
  const std::string message = orElse(
    [&]() -> Result<std::string> {
      ControlClient client(settingsFor({ silent.address(), "127.0.0.1:1" }, Millis(1200)));
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

TEST_CASE("the command line wins over the settings file, and faults are located")
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
  const auto faults = std::get<std::string>(readLine({ "--config", path, "--check-config" }));
  REQUIRE(faults.find(":2: [ctl] connect") != std::string::npos);
  REQUIRE(faults.find(":3: [ctl] colour") != std::string::npos);
  REQUIRE(std::get<ExitCode>(std::get<Outcome>(readLine({ "--no-such-option" }))) ==
          ExitCode::WrongUsage);
}

TEST_CASE("words of a command line become one statement")
{
  REQUIRE(joinWords({ "zone out a; zone in b" }) == "zone out a; zone in b");
  REQUIRE(joinWords({ "pin", "key", "s", "a \"b\"; c" }) == "pin key s \"a \\\"b\\\"; c\"");
  for (const char* it : { "127.0.0.1", "127.0.0.1:0", "127.0.1:80", "host:80", "::1:80", ":80" }) {
    CAPTURE(it);
    REQUIRE_FALSE(isAddress(it));
  }
}

} // namespace camphorcleat::ctl
