// Validates charts and runs the Qt state machine synchronously.

#include "daemon/StateChart.h"

#include <algorithm>
#include <optional>

#include <QBuffer>
#include <QCoreApplication>
#include <QEvent>
#include <QScxmlStateMachine>
#include <QXmlStreamReader>

#include "base/Log.h"
#include "daemon/ChartFiles.h"

namespace camphorcleat::daemon {

namespace {

// Runs the queued calls of all objects of this thread: the machine queues its transitions as a call
// to a private object, which can't be addressed individually.
void runMachineSteps()
{
  QCoreApplication::sendPostedEvents(nullptr, QEvent::MetaCall);
}

std::string transitionError(const QXmlStreamAttributes& aAttributes, const QString& aState)
{
  const QString target = aAttributes.value(QLatin1String("target")).toString().simplified();
  if (aAttributes.value(QLatin1String("event")).isEmpty()) {
    return "transition of state '" + aState.toStdString() + "' has no event";
  }
  if (target.isEmpty() || target.contains(QLatin1Char(' '))) {
    return "transition of state '" + aState.toStdString() + "' needs exactly one target";
  }
  if (target == aState) {
    return "transition of state '" + aState.toStdString() + "' leads to the same state";
  }
  return {};
}

// Checks the restrictions of StateChart::parse() that SCXML itself does not have. Returns an empty
// text if they are met. aState is the id of the enclosing state, empty outside of a state; the
// start of a state sets it.
std::string elementError(const QXmlStreamReader& aReader, QString& aState)
{
  const auto name = aReader.name();
  if (name == QLatin1String("scxml") &&
      aReader.attributes().value(QLatin1String("datamodel")) != QLatin1String("null")) {
    return "datamodel must be \"null\"";
  }
  if (name == QLatin1String("state")) {
    if (!aState.isEmpty()) {
      return "state inside state '" + aState.toStdString() + "'";
    }
    aState = aReader.attributes().value(QLatin1String("id")).toString();
    return aState.isEmpty() ? "state has no id" : "";
  }
  if (name == QLatin1String("transition")) {
    return transitionError(aReader.attributes(), aState);
  }
  return name == QLatin1String("scxml")
           ? ""
           : "element <" + name.toString().toStdString() + "> is not supported";
}

std::optional<ChartError> findError(const std::string& aFile, const QByteArray& aText)
{
  QXmlStreamReader reader(aText);
  QString state;
  while (!reader.atEnd()) {
    reader.readNext();
    if (reader.isEndElement() && reader.name() == QLatin1String("state")) {
      state.clear();
    } else if (reader.isStartElement()) {
      std::string reason = elementError(reader, state);
      if (!reason.empty()) {
        return ChartError{ aFile, static_cast<int>(reader.lineNumber()), std::move(reason) };
      }
    }
  }
  if (reader.hasError()) {
    return ChartError{ aFile, static_cast<int>(reader.lineNumber()),
                       reader.errorString().toStdString() };
  }
  return std::nullopt;
}

} // namespace

StateChart::StateChart(std::string aLabel, std::unique_ptr<QScxmlStateMachine> aMachine)
  : mLabel(std::move(aLabel))
  , mMachine(std::move(aMachine))
{
}

StateChart::~StateChart() = default;

Result<std::unique_ptr<StateChart>> StateChart::parse(const std::string& aFile,
                                                      std::string_view aText, std::string aLabel)
{
  QByteArray text(aText.data(), static_cast<qsizetype>(aText.size()));
  if (auto error = findError(aFile, text)) {
    return fail(std::move(*error));
  }
  QBuffer buffer(&text);
  buffer.open(QIODevice::ReadOnly);
  std::unique_ptr<QScxmlStateMachine> machine(
    QScxmlStateMachine::fromData(&buffer, QString::fromStdString(aFile)));
  const auto errors = machine->parseErrors();
  if (!errors.isEmpty()) {
    return fail(
      ChartError{ aFile, errors.first().line(), errors.first().description().toStdString() });
  }
  machine->start();
  runMachineSteps();
  if (machine->activeStateNames().size() != 1) {
    return fail(ChartError{ aFile, 0, "chart has no initial state" });
  }
  return std::unique_ptr<StateChart>(new StateChart(std::move(aLabel), std::move(machine)));
}

Result<std::unique_ptr<StateChart>> StateChart::load(const std::string& aFile, std::string aLabel)
{
  const auto& files = chartFiles();
  const auto it = std::find_if(files.begin(), files.end(),
                               [&](const ChartFile& aItem) { return aItem.name == aFile; });
  if (it == files.end()) {
    return fail(ChartError{ aFile, 0, "no such chart" });
  }
  return parse(aFile, it->text, std::move(aLabel));
}

Result<std::string> StateChart::submit(const std::string& aEvent)
{
  const std::string before = state();
  mMachine->submitEvent(QString::fromStdString(aEvent));
  runMachineSteps();
  std::string after = state();
  if (after == before) {
    logEvent(LogLevel::Warning, "chart_event_refused",
             { { "chart", mLabel }, { "state", before }, { "event", aEvent } });
    return fail(ChartEventError{ mLabel, before, aEvent });
  }
  logEvent(LogLevel::Info, "chart_transition",
           { { "chart", mLabel }, { "event", aEvent }, { "from", before }, { "to", after } });
  return after;
}

std::string StateChart::state() const
{
  const QStringList names = mMachine->activeStateNames();
  return names.isEmpty() ? std::string() : names.first().toStdString();
}

std::vector<std::string> StateChart::states() const
{
  std::vector<std::string> out;
  for (const auto& it : mMachine->stateNames()) {
    out.push_back(it.toStdString());
  }
  return out;
}

} // namespace camphorcleat::daemon
