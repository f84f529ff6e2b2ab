// The grammar of scenarios, in Boost.Spirit X3.
//
// The name of a rule is the text that diagnostics show after "expected". The options of a statement
// may be given in any order.

#include "harness/ScenarioParser.h"

#include <cmath>
#include <fstream>
#include <sstream>

#include <boost/algorithm/string/trim.hpp>
#include <boost/spirit/home/x3.hpp>

#include "harness/Measures.h"
#include "harness/ScenarioCheck.h"

namespace boost::spirit::x3 {

// Without this specialization, diagnostics of a parser with a semantic action show a C++ type name.
template<class Subject, class Action>
struct get_info<action<Subject, Action>>
{
  using result_type = std::string;
  std::string operator()(const action<Subject, Action>& aParser) const
  {
    return what(aParser.subject);
  }
};

} // namespace boost::spirit::x3

namespace camphorcleat::harness {

namespace {

namespace x3 = boost::spirit::x3;
using Iterator = std::string::const_iterator;

// Matches blanks and comments.
const auto kSkipper = x3::blank | ('#' >> *x3::char_);
const auto kWordChar = x3::alnum | x3::char_("-_");

// X3 rule id shared by keywords, names and the end of a line.
struct NamedTag
{};

auto keyword(const char* aText)
{
  return x3::rule<NamedTag>{ aText } = x3::lexeme[x3::lit(aText) >> !kWordChar];
}

// Functions that create semantic actions, which assign a member of the rule's attribute.

template<class M, class A>
M convertAttribute(const A& aValue)
{
  if constexpr (std::is_same_v<M, Millis>) {
    return Millis(std::llround(aValue));
  } else if constexpr (std::is_same_v<M, std::optional<Millis>>) {
    return std::optional<Millis>(Millis(std::llround(aValue)));
  } else if constexpr (std::is_arithmetic_v<M>) {
    return static_cast<M>(aValue);
  } else {
    return M(aValue);
  }
}

template<class S, class M>
auto set(M S::*aMember)
{
  return [aMember](auto& aContext) {
    x3::_val(aContext).*aMember = convertAttribute<M>(x3::_attr(aContext));
  };
}

template<class S, class M>
auto setConstant(M S::*aMember, M aValue)
{
  return [aMember, aValue](auto& aContext) { x3::_val(aContext).*aMember = aValue; };
}

const auto kAssign = [](auto& aContext) { x3::_val(aContext) = x3::_attr(aContext); };

// Values.

const auto kName = x3::rule<NamedTag, std::string>{ "a name" } =
  x3::lexeme[+(x3::alnum | x3::char_("-_."))];

const auto kWholeNumber = x3::rule<struct WholeNumberTag, unsigned>{ "a whole number" } =
  x3::lexeme[x3::uint_ >> !(kWordChar | '.')];

const auto kQuotedText = x3::rule<struct QuotedTag, std::string>{ "a text in double quotes" } =
  x3::lexeme['"' >> *(x3::char_ - '"') >> '"'];

struct TimeUnitTable : x3::symbols<double>
{
  TimeUnitTable() { add("ms", 1.0)("s", 1000.0)("min", 60'000.0); }
};
const TimeUnitTable kTimeUnits;

const auto kMultiplyByUnit = [](auto& aContext) {
  const auto& value = x3::_attr(aContext);
  x3::_val(aContext) = boost::fusion::at_c<0>(value) * boost::fusion::at_c<1>(value);
};

// The attribute is in milliseconds.
const auto kDuration = x3::rule<struct DurationTag, double>{ "a duration such as 500ms or 2s" } =
  x3::lexeme[(x3::double_ >> kTimeUnits >> !kWordChar)[kMultiplyByUnit]];

const auto kRate = x3::rule<struct RateTag, double>{ "a rate such as 50/s" } =
  x3::lexeme[x3::double_ >> -x3::lit("/s") >> !kWordChar];

const auto kPercent = x3::rule<struct PercentTag, double>{ "a percentage such as 20%" } =
  x3::lexeme[x3::double_ >> '%'];

const auto kNumber = x3::rule<struct NumberTag, double>{ "a number" } = x3::lexeme[x3::double_];

// Statements.

using Ref = NodeReference;

const auto kSetOwnerReference = [](auto& aContext) {
  const std::string text = x3::_attr(aContext);
  const auto slash = text.find('/');
  Ref& out = x3::_val(aContext);
  out.kind = Ref::Kind::OwnerOf;
  out.service = slash == std::string::npos ? "" : text.substr(0, slash);
  out.key = slash == std::string::npos ? text : text.substr(slash + 1);
};

const auto kOwnedKey = x3::rule<struct OwnedKeyTag, std::string>{ "SERVICE/KEY or KEY" } =
  x3::lexeme[+(x3::alnum | x3::char_("-_./"))];

const auto kNodeReference =
  x3::rule<struct ReferenceTag, Ref>{ "node N, vm N, leader, owner-of KEY or all" } =
    (keyword("node") > kWholeNumber[set(&Ref::node)]) |
    (keyword("vm")[setConstant(&Ref::isWholeVm, true)] > kWholeNumber[set(&Ref::node)]) |
    keyword("leader")[setConstant(&Ref::kind, Ref::Kind::Leader)] |
    keyword("all")[setConstant(&Ref::kind, Ref::Kind::All)] |
    (keyword("owner-of") > kOwnedKey[kSetOwnerReference]);

using Service = ServiceStatement;

const auto kService = x3::rule<struct ServiceTag, Service>{ "service" } =
  keyword("service") > kName[set(&Service::name)] >
  *(keyword("keyed")[setConstant(&Service::isKeyed, true)] |
    keyword("unkeyed")[setConstant(&Service::isKeyed, false)] |
    (keyword("nodes") > kWholeNumber[set(&Service::nodes)]) |
    (keyword("slots") > kWholeNumber[set(&Service::slots)]) |
    ((keyword("cold-slots") | keyword("cold")) > kWholeNumber[set(&Service::coldSlots)]) |
    (keyword("warm-up") > kDuration[set(&Service::warmUp)]) |
    (keyword("service-time") > kDuration[set(&Service::serviceTimeMs)]) |
    keyword("fixed")[setConstant(&Service::hasFixedServiceTime, true)] |
    keyword("sheds")[setConstant(&Service::shedsLoad, true)]);

using Fleet = FleetStatement;

const auto kAddService = [](auto& aContext) {
  x3::_val(aContext).services.push_back(x3::_attr(aContext));
};

const auto kFleet = x3::rule<struct FleetTag, Fleet>{ "fleet" } =
  keyword("fleet") > kName[set(&Fleet::name)] >
  *((keyword("zones") > kWholeNumber[set(&Fleet::zones)]) |
    (keyword("nodes") > kWholeNumber[set(&Fleet::nodes)]) |
    (keyword("control") > kWholeNumber[set(&Fleet::control)]) |
    keyword("apart")[setConstant(&Fleet::hasDedicatedControl, true)] |
    (keyword("partitions") > kWholeNumber[set(&Fleet::partitions)]) |
    keyword("proxied")[setConstant(&Fleet::isProxied, true)] |
    keyword("checks-grants")[setConstant(&Fleet::checksGrants, true)] |
    (x3::lit('[') > kService[kAddService] > ']'));

const auto kStart = x3::rule<struct StartTag, StartStatement>{
  "start"
} = keyword("start") >> x3::attr(StartStatement());

using Operator = OperatorStatement;

const auto kOperator = x3::rule<struct OperatorTag, Operator>{ "operator" } =
  keyword("operator") > kQuotedText[set(&Operator::text)] >
  -(keyword("expect-code") > kName[set(&Operator::expectedCode)]);

using Account = AccountStatement;

const auto kAccount = x3::rule<struct AccountTag, Account>{ "account" } =
  keyword("account") > kName[set(&Account::name)] >
  keyword("rate") > kRate[set(&Account::ratePerSecond)] >
  keyword("burst") > kNumber[set(&Account::burst)];

using Load = LoadStatement;

const auto kLoad = x3::rule<struct LoadTag, Load>{ "load" } =
  keyword("load") > kName[set(&Load::name)] >
  *((keyword("account") > kName[set(&Load::account)]) |
    (keyword("service") > kName[set(&Load::service)]) |
    (keyword("rate") > kRate[set(&Load::ratePerSecond)]) |
    keyword("steady")[setConstant(&Load::isSteady, true)] |
    (keyword("keys") > kWholeNumber[set(&Load::keyCount)]) |
    (keyword("first-key") > kWholeNumber[set(&Load::firstKey)]) |
    (keyword("key") > kName[set(&Load::onlyKey)]) |
    (keyword("zipf") > kNumber[set(&Load::zipfExponent)]) | keyword("uniform") |
    (keyword("post") > kPercent[set(&Load::postPercent)]) |
    keyword("idempotent")[setConstant(&Load::hasIdempotencyKeys, true)] |
    (keyword("body") > kWholeNumber[set(&Load::bodyBytes)]) |
    (keyword("bytes") > kWholeNumber[set(&Load::responseBytes)]) |
    (keyword("deadline") > kDuration[set(&Load::deadline)]) |
    (keyword("work") > kDuration[set(&Load::work)]) |
    (keyword("via") > (keyword("any") | (keyword("node") > kWholeNumber[set(&Load::via)]))) |
    (keyword("for") > kDuration[set(&Load::duration)]));

const auto kWaitOwned = x3::rule<struct WaitOwnedTag, WaitOwnedStatement>{ "wait owned" } =
  (keyword("wait") >> keyword("owned")) > kName[set(&WaitOwnedStatement::service)];

const auto kWaitLoads = x3::rule<struct WaitLoadsTag, WaitLoadsStatement>{
  "wait loads"
} = keyword("wait") >> keyword("loads") >> x3::attr(WaitLoadsStatement());

const auto kWaitReady = x3::rule<struct WaitReadyTag, WaitReadyStatement>{
  "wait ready"
} = keyword("wait") >> keyword("ready") >> x3::attr(WaitReadyStatement());

const auto kWaitConfig = x3::rule<struct WaitConfigTag, WaitConfigStatement>{
  "wait config"
} = keyword("wait") >> keyword("config") >> x3::attr(WaitConfigStatement());

const auto kWait = x3::rule<struct WaitTag, WaitStatement>{ "wait" } =
  keyword("wait") > kDuration[set(&WaitStatement::duration)];

using Process = ProcessStatement;

const auto kProcess = x3::rule<struct ProcessTag, Process>{ "kill" } =
  (keyword("kill")[setConstant(&Process::action, Process::Action::Kill)] |
   keyword("freeze")[setConstant(&Process::action, Process::Action::Freeze)] |
   keyword("resume")[setConstant(&Process::action, Process::Action::Resume)] |
   keyword("stop")[setConstant(&Process::action, Process::Action::Stop)] |
   keyword("restart")[setConstant(&Process::action, Process::Action::Restart)]) >
  kNodeReference[set(&Process::node)] >
  -(keyword("with") > keyword("empty") >
    keyword("disk")[setConstant(&Process::hasEmptyDisk, true)]);

const auto kCut = x3::rule<struct CutTag, CutStatement>{ "cut" } =
  keyword("cut") > kNodeReference[set(&CutStatement::from)] >
  (x3::rule<struct ArrowTag, std::string>{ "-> or <->" } = x3::string("->") |
                                                           x3::string("<->"))[([](auto& aContext) {
    x3::_val(aContext).isBidirectional = x3::_attr(aContext) == "<->";
  })] > kNodeReference[set(&CutStatement::to)];

const auto kHeal = x3::rule<struct HealTag, HealStatement>{ "heal" } = keyword("heal") >>
                                                                       x3::attr(HealStatement());

const auto kSilence = x3::rule<struct SilenceTag, SilenceStatement>{ "silence" } =
  keyword("silence") > kNodeReference[set(&SilenceStatement::from)] > "->" >
  kNodeReference[set(&SilenceStatement::to)];

const auto kReset = x3::rule<struct ResetTag, ResetStatement>{ "reset" } =
  keyword("reset") > kNodeReference[set(&ResetStatement::from)] > "->" >
  kNodeReference[set(&ResetStatement::to)];

const auto kDelay = x3::rule<struct DelayTag, DelayStatement>{ "delay" } =
  keyword("delay") > keyword("all") > kDuration[set(&DelayStatement::delay)] >
  -(keyword("jitter") > kDuration[set(&DelayStatement::jitter)]);

using Target = TargetStatement;

const auto kTargetSlow = x3::rule<struct TargetSlowTag, Target>{ "target N slow" } =
  (keyword("target") >> kWholeNumber[set(&Target::node)] >>
   keyword("slow")[setConstant(&Target::action, Target::Action::Slow)]) >
  kNumber[set(&Target::factor)] > keyword("for") > kDuration[set(&Target::duration)];

const auto kTarget = x3::rule<struct TargetTag, Target>{ "target" } =
  keyword("target") > kWholeNumber[set(&Target::node)] >
  (x3::rule<struct TargetActionTag, Target::Action>{
     "slow, cold, drain, restart, kill, freeze or resume" } =
     (keyword("cold") >> x3::attr(Target::Action::Cold)) |
     (keyword("drain") >> x3::attr(Target::Action::Drain)) |
     (keyword("restart") >> x3::attr(Target::Action::Restart)) |
     (keyword("kill") >> x3::attr(Target::Action::Kill)) |
     (keyword("freeze") >> x3::attr(Target::Action::Freeze)) |
     (keyword("resume") >> x3::attr(Target::Action::Resume)))[set(&Target::action)];

using Expect = ExpectStatement;

struct ComparisonTable : x3::symbols<Expect::Comparison>
{
  ComparisonTable()
  {
    add("<=", Expect::Comparison::AtMost)(">=", Expect::Comparison::AtLeast)(
      "<", Expect::Comparison::Below)(">", Expect::Comparison::Above)("==",
                                                                      Expect::Comparison::Equal);
  }
};
const ComparisonTable kComparisons;

struct MeasureTable : x3::symbols<std::string>
{
  MeasureTable()
  {
    for (const auto& it : allMeasures()) {
      add(it.name, std::string(it.name));
    }
  }
};
const MeasureTable kMeasures;

std::string expectedMeasures()
{
  std::string out = "a measure (";
  for (const auto& it : allMeasures()) {
    out += (out.back() == '(' ? "" : ", ") + std::string(it.name);
  }
  return out + ")";
}
const std::string kExpectedMeasures = expectedMeasures();

const auto kAddArgument = [](auto& aContext) {
  x3::_val(aContext).arguments.push_back(x3::_attr(aContext));
};

// checkScenario() checks whether the measure allows a unit.
const auto kApplyUnit = [](auto& aContext) {
  x3::_val(aContext).value *= x3::_attr(aContext);
  x3::_val(aContext).hasUnit = true;
};

const auto kMeasureName = x3::rule<struct MeasureTag, std::string>{ kExpectedMeasures.c_str() } =
  x3::lexeme[kMeasures >> !kWordChar];

const auto kComparison =
  x3::rule<struct ComparisonTag, Expect::Comparison>{ "<=, >=, <, > or ==" } = kComparisons;

const auto kUnit = x3::rule<struct UnitTag, double>{ "ms or s" } =
  x3::lexeme[kTimeUnits >> !kWordChar];

const auto kExpect = x3::rule<struct ExpectTag, Expect>{ "expect" } =
  keyword("expect") > kMeasureName[set(&Expect::measure)] > *kName[kAddArgument] >
  kComparison[set(&Expect::comparison)] > kNumber[set(&Expect::value)] > -kUnit[kApplyUnit];

const auto kEnd = x3::rule<NamedTag>{ "another option of this statement, or the end of the line" } =
  x3::eoi;

// The statements are split into two rules because a single alternative of all of them takes much
// longer to compile.
const auto kSetupStatement = x3::rule<struct SetupTag, StatementBody>{ "statement" } =
  kFleet[kAssign] | kService[kAssign] | kStart[kAssign] | kOperator[kAssign] | kAccount[kAssign] |
  kLoad[kAssign] | kWaitOwned[kAssign] | kWaitLoads[kAssign] | kWaitReady[kAssign] |
  kWaitConfig[kAssign] | kWait[kAssign];

const auto kFaultOrExpectStatement =
  x3::rule<struct FaultOrExpectTag, StatementBody>{ "statement" } =
    kProcess[kAssign] | kCut[kAssign] | kHeal[kAssign] | kSilence[kAssign] | kReset[kAssign] |
    kDelay[kAssign] | kTargetSlow[kAssign] | kTarget[kAssign] | kExpect[kAssign];

const auto kStatement = x3::rule<struct StatementTag, StatementBody>{ "statement" } =
  (kSetupStatement[kAssign] | kFaultOrExpectStatement[kAssign]) > kEnd;

const char* const kExpectedStatement =
  "expected a statement (fleet, service, start, operator, account, load, wait, kill, freeze, "
  "resume, stop, restart, cut, heal, silence, reset, delay, target or expect)";

// Returns the column of the first non-blank character at or after a position.
unsigned columnOf(const std::string& aLine, Iterator aAt)
{
  while (aAt != aLine.end() && (*aAt == ' ' || *aAt == '\t')) {
    ++aAt;
  }
  return static_cast<unsigned>(aAt - aLine.begin()) + 1;
}

struct LineDiagnostic
{
  unsigned column = 0;
  std::string reason;
};

std::optional<LineDiagnostic> parseLine(const std::string& aLine, StatementBody& aOut)
{
  Iterator at = aLine.begin();
  try {
    if (x3::phrase_parse(at, aLine.end(), kStatement, kSkipper, aOut)) {
      return std::nullopt;
    }
    return LineDiagnostic{ columnOf(aLine, aLine.begin()), kExpectedStatement };
  } catch (const x3::expectation_failure<Iterator>& failure) {
    return LineDiagnostic{ columnOf(aLine, failure.where()), "expected " + failure.which() };
  }
}

std::string stripComment(const std::string& aLine)
{
  bool isQuoted = false;
  for (std::size_t i = 0; i < aLine.size(); ++i) {
    isQuoted = isQuoted != (aLine[i] == '"');
    if (aLine[i] == '#' && !isQuoted) {
      return aLine.substr(0, i);
    }
  }
  return aLine;
}

} // namespace

std::string ScenarioDiagnostic::message() const
{
  return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " + reason;
}

std::string ScenarioError::message() const
{
  std::string out;
  for (const auto& it : diagnostics) {
    out += (out.empty() ? "" : "\n") + it.message();
  }
  return out;
}

Result<Scenario> parseScenario(const std::string& aFile, const std::string& aText)
{
  Scenario out;
  ScenarioError error;
  std::istringstream in(aText);
  std::string raw;
  for (unsigned n = 1; std::getline(in, raw); ++n) {
    boost::trim_right(raw);
    const std::string line = boost::trim_right_copy(stripComment(raw));
    if (line.find_first_not_of(" \t") == std::string::npos) {
      continue;
    }
    Statement statement{ n, boost::trim_copy(line), {} };
    if (const auto diagnostic = parseLine(line, statement.body)) {
      error.diagnostics.push_back({ aFile, n, diagnostic->column, diagnostic->reason });
    } else {
      out.push_back(std::move(statement));
    }
  }
  // The semantic checks need all declarations, so they require that every line was parsed.
  if (error.diagnostics.empty()) {
    error.diagnostics = checkScenario(aFile, out);
  }
  if (!error.diagnostics.empty()) {
    return fail(std::move(error));
  }
  return out;
}

Result<Scenario> loadScenario(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    return fail(StorageError{ aFile, "opening", errno });
  }
  std::stringstream text;
  text << in.rdbuf();
  return parseScenario(aFile, text.str());
}

} // namespace camphorcleat::harness
