// Case 6: the core machine that leads is replaced by an empty one as planned work. Later, two other
// core machines lose their disks right after a configuration was acknowledged.

#include "../common-2/Rig.h"

using namespace rig;

namespace {

constexpr double kStartSeconds = 8;       // Traffic starts 8 s after the machines do.
constexpr double kPlannedStopAfter = 4;   // The new machine starts first.
constexpr double kGraceSeconds = 6;       // grace_s
constexpr double kSettleSeconds = 12;     // Three times catch_up_s.
constexpr double kRecoverySeconds = 15;   // recovery_s
constexpr double kReadSeconds = 30;

std::string document(const std::string& aVersion, double aTimeout)
{
  char buf[1024];
  std::snprintf(
    buf, sizeof(buf),
    R"({"version":"%s","services":[{"name":"huvo11a","health_path":"/health","max_connections":110,)"
    R"("protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":18.0}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,)"
    R"("idle_timeout_s":15},"tenants":[{"name":"hule930","api_keys":["3fexd9dnn2ctnfzs989a"],)"
    R"("priority":1,"rate_per_s":144,"burst":144}],"virtual_hosts":[{"host":"ficu95.example",)"
    R"("paths":[{"name":"r-1","path_prefix":"/pufi791/","kind":"safe","timeout_s":%.1f,)"
    R"("target_latency_s":0.4,"priority":1,"service":"huvo11a","max_attempts":2,"public":false}]}]})",
    aVersion.c_str(), aTimeout);
  return buf;
}

// The machine whose log says last that it became the leader.
Machine* leaderOf(const Deployment& aDeployment, const std::vector<Machine*>& aCore)
{
  Machine* out = nullptr;
  long best = 0;
  for (Machine* it : aCore) {
    const std::string log = aDeployment.log(*it);
    for (std::size_t at = 0; (at = log.find("\"became_leader\"", at)) != std::string::npos; ++at) {
      const std::size_t term = log.find("\"term\":\"", at);
      const long value = std::atol(log.c_str() + term + 8);
      if (value > best) {
        best = value;
        out = it;
      }
    }
  }
  return out;
}

int run()
{
  const char* variable = getenv("TROUBLE");
  const std::string trouble = variable == nullptr ? "1" : variable;
  const bool isReplaced = trouble == "1";
  const bool losesDisks = trouble == "1" || trouble == "disks";

  Deployment deployment;
  std::vector<Machine*> core;
  const char* zones[] = { "tb-vake", "tb-vake", "tb-saburtalo", "tb-isani", "tb-didube" };
  for (int i = 0; i < 5; ++i) {
    core.push_back(&deployment.add("core-" + std::to_string(i + 1), zones[i], ""));
  }
  const std::vector<Machine*> seeds = { core[0], core[2], core[3] };
  for (Machine* it : core) {
    deployment.start(*it, seeds, true);
  }
  if (order(deployment, core, "/Config.Put", "00000000", document("00000001", 1.2), 20) != 200) {
    cannotRun("the first configuration was not accepted");
  }
  sleepSeconds(kStartSeconds);

  Machine* leader = leaderOf(deployment, core);
  if (leader == nullptr) {
    cannotRun("no leader found");
  }
  if (isReplaced) {
    note("%s leads and is replaced", leader->name.c_str());
    Machine& next = deployment.add("core-6", leader->zone, "");
    deployment.start(next, seeds, false);
    sleepSeconds(kPlannedStopAfter);
    note("SIGTERM to %s", leader->name.c_str());
    leader->process.signal(SIGTERM);
    if (!leader->process.waitEnd(kGraceSeconds)) {
      leader->process.kill();
    }
    note("%s has ended", leader->name.c_str());
    std::replace(core.begin(), core.end(), leader, &next);
  }
  sleepSeconds(kSettleSeconds);

  const std::string second = document("00000002", 1.3);
  if (order(deployment, core, "/Config.Put", "00000001", second, 10) != 200) {
    cannotRun("the second configuration was not accepted");
  }
  if (losesDisks) {
    std::vector<Machine*> lost;
    for (Machine* it : core) {
      if (it->name != "core-6" && lost.size() < 2) {
        lost.push_back(it);
      }
    }
    for (Machine* it : lost) {
      it->process.kill();
      deployment.loseDisk(*it);
      note("%s was killed and has lost its disk", it->name.c_str());
    }
    sleepSeconds(1);
    for (Machine* it : lost) {
      deployment.start(*it, seeds, false);
    }
  }

  // The operator reads the configuration back.
  const double begin = secondsSinceStart();
  bool isRead = false;
  double readAfter = 0;
  for (std::size_t i = 0; secondsSinceStart() < begin + kRecoverySeconds + kReadSeconds; ++i) {
    const Machine& from = *core[i % core.size()];
    const Message answer =
      call(from.ip, deployment.ports.control, "GET", "/Config.Get", {}, "", 1.0);
    const bool isSecond = answer.status == 200 && answer.body == second;
    if (answer.status == 200 || i % 25 < 5) {
      note("operator: GET /Config.Get from %s: %d%s", from.name.c_str(), answer.status,
           answer.status != 200 ? "" : isSecond ? ", version 2" : ", ANOTHER VERSION");
    }
    if (answer.status == 200 && !isSecond) {
      note("broken: an older configuration was read");
      return kBroken;
    }
    if (isSecond) {
      isRead = true;
      readAfter = secondsSinceStart() - begin;
      break;
    }
    sleepSeconds(0.1);
  }
  if (!isRead) {
    note("broken: CONFIG: the acknowledged configuration was not read back within %.0f s",
         kRecoverySeconds + kReadSeconds);
    return kBroken;
  }
  note("held: version 2 was read after %.1f s", readAfter);
  return kHeld;
}

} // namespace

int main(int aCount, char** aArguments)
{
  return runCase(aCount, aArguments, run);
}
