// Statements are parsed here too: a misspelling is reported without a daemon, and account keys are
// replaced by their digests before anything is sent.

#include "ctl/Session.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <unistd.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QRandomGenerator>
#include <QUuid>

#include <readline/history.h>
#include <readline/readline.h>

#include "fleet/QueryAnswer.h"

namespace camphorcleat::ctl {

namespace {

constexpr std::size_t kMaxFileBytes = std::size_t{ 1024 } * 1024;
constexpr int kMaxHistoryLines = 500;
constexpr std::chrono::seconds kWatchPeriod{ 1 };

// A file that apply can't read.
struct FileProblem
{
  static constexpr ErrorCode kCode = ErrorCode::UsageError;
  std::string file;
  std::string reason;
  std::string message() const { return file + ": " + reason; }
};

Result<std::string> readText(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return fail(FileProblem{ aPath, "can't be opened" });
  }
  std::string out(kMaxFileBytes + 1, '\0');
  file.read(out.data(), static_cast<std::streamsize>(out.size()));
  out.resize(static_cast<std::size_t>(file.gcount()));
  if (file.bad() || out.size() > kMaxFileBytes) {
    return fail(FileProblem{ aPath, "can't be read or has more than 1 MiB" });
  }
  return out;
}

std::uint32_t randomBits()
{
  return QRandomGenerator::system()->generate();
}

std::string randomCommandId()
{
  return QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
}

bool holdsSecret(const std::string& aLine)
{
  return aLine.find("key") != std::string::npos && aLine.find("value") != std::string::npos;
}

QJsonArray keysToJson(const std::vector<fleet::GeneratedKey>& aKeys)
{
  QJsonArray out;
  for (const auto& it : aKeys) {
    out.append(QJsonObject{ { "account", QString::fromStdString(it.account) },
                            { "key_name", QString::fromStdString(it.keyName) },
                            { "value", QString::fromStdString(it.value) } });
  }
  return out;
}

void writeKeys(std::ostream& aOut, const std::vector<fleet::GeneratedKey>& aKeys)
{
  for (const auto& it : aKeys) {
    aOut << "key " << it.account << "/" << it.keyName << ": " << it.value << "\n";
  }
}

ExitCode exitCodeOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::None:
      return ExitCode::Done;
    case ErrorCode::OutcomeUnknown:
      return ExitCode::NoAnswer;
    case ErrorCode::UsageError:
    case ErrorCode::SettingsInvalid:
    case ErrorCode::StorageFailed:
      return ExitCode::WrongUsage;
    default:
      return ExitCode::Refused;
  }
}

// Reads a line with history from a terminal, and a plain line from anything else.
bool readLine(bool aIsTerminal, std::string& aOut)
{
  if (!aIsTerminal) {
    return static_cast<bool>(std::getline(std::cin, aOut));
  }
  char* line = readline("camphorcleat> ");
  if (line == nullptr) {
    return false;
  }
  aOut = line;
  if (*line != '\0' && !holdsSecret(aOut)) {
    add_history(line);
  }
  std::free(line); // NOLINT(cppcoreguidelines-no-malloc): readline allocates it with malloc.
  return true;
}

} // namespace

Session::Session(CtlSettings aSettings)
  : mSettings(aSettings)
  , mClient(std::move(aSettings))
{
}

ExitCode Session::run()
{
  std::vector<std::string> words = mSettings.words;
  if (words.empty()) {
    return prompt();
  }
  if (words.size() == 1 && words[0] == "help") {
    std::cout << fleet::helpText();
    return ExitCode::Done;
  }
  if (words.size() == 2 && words[0] == "apply") {
    return applyFile(words[1]);
  }
  if (words.size() > 1 && words[0] == "watch") {
    words.erase(words.begin());
    return watch(joinWords(words));
  }
  return runStatement(joinWords(words));
}

ExitCode Session::runStatement(const std::string& aText)
{
  return orElse([&] { return execute(aText); },
                [this](const ErrorInfo& aInfo) { return report(aInfo); });
}

ExitCode Session::applyFile(const std::string& aPath)
{
  return orElse(
    [&]() -> Result<ExitCode> {
      BOOST_LEAF_AUTO(text, readText(aPath));
      return execute(text);
    },
    [this](const ErrorInfo& aInfo) { return report(aInfo); });
}

Result<ExitCode> Session::execute(const std::string& aText)
{
  BOOST_LEAF_CHECK(fleet::parseStatement(aText, randomBits));
  BOOST_LEAF_AUTO(safe, fleet::redactSecrets(aText, randomBits));
  return sendSafely(safe);
}

// If the answer is lost, the generated keys are shown all the same: they may be in effect, and a
// resend with the same command id needs the same values.
Result<ExitCode> Session::sendSafely(const fleet::RedactedText& aSafe)
{
  const std::string id = mSettings.commandId.empty() ? randomCommandId() : mSettings.commandId;
  auto answer = mClient.send(aSafe.text, id);
  if (!answer) {
    writeKeys(std::cerr, aSafe.generatedKeys);
    return answer.error();
  }
  return show(*answer, aSafe.generatedKeys);
}

ExitCode Session::report(const ErrorInfo& aInfo)
{
  const std::string code(enumName(aInfo.code));
  if (mSettings.writesJson) {
    const QJsonObject out{ { "code", QString::fromStdString(code) },
                           { "message", QString::fromStdString(aInfo.message) },
                           { "revision", 0 },
                           { "result", QJsonValue::Null } };
    std::cout << QJsonDocument(out).toJson(QJsonDocument::Compact).toStdString() << "\n";
  } else {
    std::cerr << code << ": " << aInfo.message << "\n";
  }
  return exitCodeOf(aInfo.code);
}

ExitCode Session::show(const Answer& aAnswer, const std::vector<fleet::GeneratedKey>& aKeys)
{
  const bool isDone = aAnswer.code == enumName(ErrorCode::None);
  const auto keys = isDone && !mSettings.isDryRun ? aKeys : std::vector<fleet::GeneratedKey>();
  if (mSettings.writesJson) {
    showJson(aAnswer, keys);
  } else if (!isDone) {
    std::cerr << aAnswer.code << ": " << aAnswer.message << " (revision " << aAnswer.revision
              << ")\n";
  } else if (!aAnswer.result.isEmpty()) {
    std::cout << fleet::renderTable(aAnswer.result);
  } else {
    std::cout << (mSettings.isDryRun ? "would be accepted" : "accepted") << " at revision "
              << aAnswer.revision << "\n";
  }
  if (!mSettings.writesJson) {
    writeKeys(std::cout, keys);
  }
  std::cout.flush();
  return isDone ? ExitCode::Done
                : exitCodeOf(enumFromName<ErrorCode>(aAnswer.code).value_or(ErrorCode::Internal));
}

void Session::showJson(const Answer& aAnswer, const std::vector<fleet::GeneratedKey>& aKeys)
{
  QJsonObject out = aAnswer.whole;
  if (!aKeys.empty()) {
    QJsonObject result = aAnswer.result;
    result.insert("generated_keys", keysToJson(aKeys));
    out.insert("result", result);
  }
  std::cout << QJsonDocument(out).toJson(QJsonDocument::Compact).toStdString() << "\n";
}

// Repeats a query until the program is interrupted. A lost answer doesn't end it: watching is most
// useful while daemons fail.
ExitCode Session::watch(const std::string& aText)
{
  const bool isQuery = orElse(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(statement, fleet::parseStatement(aText, randomBits));
      return std::holds_alternative<fleet::Query>(statement);
    },
    [this](const ErrorInfo& aInfo) {
      report(aInfo);
      return false;
    });
  if (!isQuery) {
    std::cerr << "usage_error: 'watch' repeats a 'show' statement\n";
    return ExitCode::WrongUsage;
  }
  while (std::cout) {
    runStatement(aText);
    std::this_thread::sleep_for(kWatchPeriod);
  }
  return ExitCode::Done;
}

// A script that is piped in ends with the code of its last failure; at a terminal the person has
// seen each one.
ExitCode Session::prompt()
{
  const bool isTerminal = isatty(STDIN_FILENO) != 0;
  stifle_history(kMaxHistoryLines);
  ExitCode out = ExitCode::Done;
  bool isDone = false;
  for (std::string line; !isDone && readLine(isTerminal, line);) {
    const ExitCode code = promptOnce(line, isDone);
    out = code == ExitCode::Done || isTerminal ? out : code;
  }
  return out;
}

ExitCode Session::promptOnce(const std::string& aLine, bool& aIsDone)
{
  std::istringstream in(aLine);
  std::string first;
  std::string rest;
  in >> first >> rest;
  aIsDone = first == "exit" || first == "quit";
  if (aIsDone || first.empty() || first[0] == '#') {
    return ExitCode::Done;
  }
  if (first == "help") {
    std::cout << fleet::helpText();
    return ExitCode::Done;
  }
  if (first == "apply") {
    return applyFile(rest);
  }
  return runStatement(aLine);
}

} // namespace camphorcleat::ctl
