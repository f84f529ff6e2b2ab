// A small deployment on loopback addresses: the settings files of the daemons, which this program
// starts as separate processes, and stand-ins for the users' servers, clients and operator. They
// follow PROTOCOL.md and DEPLOY.md. One thread for each connection; times are of the steady clock.

#ifndef REVIEW_STAND_3_PLATFORM_H_
#define REVIEW_STAND_3_PLATFORM_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace stand {

double now();                 ///< Seconds since the start of the program.
void sleepFor(double aSeconds);
std::int64_t unixMillis();
std::string randomId(const std::string& aPrefix);

/// Appends a line with the time to record.txt.
void record(const std::string& aLine);
void openRecord(const std::string& aPath);

/// Thrown if the case couldn't run: run.sh exits with 2.
struct CannotRun
{
  std::string reason;
};

using Headers = std::vector<std::pair<std::string, std::string>>;
std::string headerOf(const Headers& aHeaders, const std::string& aName);

/// A blocking connection with an input buffer.
class Connection
{
public:
  explicit Connection(int aFd) : mFd(aFd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  /// Returns nullptr if the connection isn't established in time.
  static std::unique_ptr<Connection> dial(const std::string& aAddress, double aTimeout);

  bool send(const std::string& aBytes);
  /// Reads until aUntil (a time of now()). Returns false at the end, an error or the time limit.
  bool readLine(std::string& aLine, double aUntil);
  bool readBytes(std::size_t aCount, std::string& aOut, double aUntil);
  bool readToEnd(std::string& aOut, double aUntil);
  void shutdownBoth();
  void reset(); ///< Closes with RST.
  int fd() const { return mFd; }

private:
  bool fill(double aUntil);
  int mFd;
  std::string mBuffer;
  bool mWasReset = false;
};

struct Message
{
  std::string first; ///< Request line or status line, without the line end.
  std::string method, path;
  int status = 0;
  Headers headers;
  std::string body;
  bool isComplete = false;
};

/// Reads the head; for a response, aIsResponse. Returns false if there is none.
bool readHead(Connection& aConnection, bool aIsResponse, Message& aOut, double aUntil);
/// Reads the body by Content-Length, chunked coding or, for a response without both, the end.
bool readBody(Connection& aConnection, bool aIsResponse, Message& aOut, double aUntil);

/// One request on a new connection. status is 0 without a complete response.
Message call(const std::string& aAddress, const std::string& aMethod, const std::string& aPath,
             const Headers& aHeaders, const std::string& aBody, double aTimeout);

struct Ports
{
  int outbound = 0, readiness = 0, control = 0, peers = 0, app = 0;
};

/// A daemon's process, started as deploy/system.toml says, with a filled template.
class Daemon
{
public:
  Daemon(std::string aName, std::string aIp, bool aIsCore, std::string aZone, std::string aService);
  void writeSettings(const std::vector<std::string>& aSeeds, bool aBootstrap);
  void start();
  void kill(int aSignal);
  /// Waits until the process has ended. Returns false after aTimeout.
  bool awaitEnd(double aTimeout);
  bool isRunning();
  pid_t pid() const { return mPid; }
  std::string address(int aPort) const { return ip + ":" + std::to_string(aPort); }
  std::string name, ip;
  bool isCore;
  std::string zone, service;

private:
  pid_t mPid = -1;
  int mStarts = 0;
};

struct Hold
{
  std::int64_t fence = 0;
  double until = 0;
};

struct Run
{
  std::string attempt;
  double at = 0;
  int times = 0;
};

/// A server of the users.
class Server
{
public:
  struct Options
  {
    std::string service, address, zone, control, id;
    bool isKeyed = false;
    int slots = 18;
    double workSeconds = 0.02;
    double beatSeconds = 0.87;
    double warmUpSeconds = 0;
  };
  explicit Server(Options aOptions);
  ~Server();
  void start();
  void stop();     ///< Ends at once, like a crash: connections are closed, no heartbeat is sent.
  void setState(const std::string& aState);
  bool deregister(double aTimeout);
  /// Whether the key is held at the time; its fence.
  Hold holdOf(unsigned aKey) const;
  std::size_t heldKeys() const;
  bool wasAcknowledged() const { return mAcked; }
  double lastAcknowledged() const { return mAckedAt; } ///< When a heartbeat was acknowledged last.
  void turnCold(double aSeconds); ///< Later heartbeats say how long the server stays cold.
  std::map<std::string, int> runs() const;
  std::string id() const { return mOptions.id; }
  std::int64_t born() const { return mBorn; }
  const Options& options() const { return mOptions; }

  /// Replaces the handling of a request whose head was read. Returns false to close the connection.
  std::function<bool(Server&, Connection&, Message&)> handler;
  bool handleDefault(Connection& aConnection, Message& aRequest);
  /// Sends a complete response to a request that ran.
  bool answer(Connection& aConnection, const Message& aRequest, const std::string& aBody,
              const std::string& aExtraHeaders = "");
  bool refuse(Connection& aConnection, const Message& aRequest, int aStatus);
  void recordRun(const Message& aRequest);
  std::string heartbeatBody(std::int64_t aSequence) const;

private:
  void acceptLoop();
  void serve(std::shared_ptr<Connection> aConnection);
  void beatLoop();
  bool beat();
  void applyResponse(const std::string& aBody, double aSentAt);

  Options mOptions;
  std::int64_t mBorn = 0;
  std::atomic<bool> mIsUp{ false };
  std::atomic<bool> mAcked{ false };
  std::atomic<double> mAckedAt{ 0 };
  std::atomic<double> mColdUntil{ 0 };
  int mListener = -1;
  std::thread mAcceptThread, mBeatThread;
  mutable std::mutex mMutex;
  std::vector<std::weak_ptr<Connection>> mConnections;
  std::atomic<int> mOpen{ 0 }; ///< Threads of connections.
  std::vector<Hold> mHolds;
  std::vector<std::int64_t> mSeenFence;
  std::vector<std::string> mReleased; ///< Rows since the last acknowledged heartbeat.
  bool mMustBeatSoon = false;
  std::string mState = "ready";
  std::int64_t mSequence = 0;
  std::map<std::string, int> mRuns;
};

/// The whole deployment.
class Deployment
{
public:
  Deployment();
  ~Deployment(); ///< Ends all processes that were started.
  Daemon& addCore(const std::string& aZone);
  Daemon& addSidecar(const std::string& aZone, const std::string& aService);
  void startAll();
  /// Sends the configuration until it is acknowledged.
  void putConfiguration(const std::string& aBase, const std::string& aBody);
  int put(Daemon& aCore, const std::string& aBase, const std::string& aBody, double aTimeout);
  std::vector<std::string> seeds() const;
  std::vector<std::unique_ptr<Daemon>> cores, sidecars;
  static Ports ports;
  static std::string folder, program, deployFolder;

private:
  std::string mPrefix;
  int mNext = 1;
};

std::string trim(const std::string& aText);
bool isTroubled(); ///< False with TROUBLE=0.

/// Runs the case; translates its result to the exit status.
int runCase(int aArgCount, char** aArgs, const std::function<bool()>& aCase);

} // namespace stand

#endif // REVIEW_STAND_3_PLATFORM_H_
