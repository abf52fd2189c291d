// The platform's, the operators' and the fleet's file read again while the controller runs: each is taken
// over or refused by itself (issue 67). Real files, without a process; times are given by hand.
#include "configuration/reloader.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

namespace orchidgw::configuration {
namespace {

constexpr TimeUs kSecond = 1'000'000;
constexpr std::int64_t kMemoryMb = 32;
constexpr std::size_t kTooManyBytes =
    std::size_t{6} * 1024 * 1024;  // for any of the files at this memory limit

// A configuration file, field by field, so that a test can give one of them another value or leave it out.
struct ConfigText {
  std::string listen = R"("127.0.0.1:7001")";
  std::string change_log = R"("127.0.0.1:9001")";
  std::string known = R"({"seq":1,"results":[]})";
  std::string classes = R"([{"name":"lookup","aim":200000,"deadline":4000000,"effect":"idempotent"}])";
  std::string memory_mb = std::to_string(kMemoryMb);
  std::string operator_file;  // empty: left out, as the next
  std::string fleet_file;
  std::string end;

  std::string text() const {
    std::string out = R"({"name":"c0","listen":)" + listen + R"(,"seed":"1f","limits":{"memory_mb":)" +
                      memory_mb + R"(,"sockets":1024},"changelog":)" + change_log + R"(,"known":)" + known;
    if (!operator_file.empty()) out += R"(,"operatorFile":)" + operator_file;
    if (!fleet_file.empty()) out += R"(,"fleetFile":)" + fleet_file;
    return out + R"(,"settings":{"balancers":1,"me":0,"classes":)" + classes +
           R"(,"domain":{"dop":[1],"sizeCores":[8]},"shapes":["std"],"policyLimits":{"maxAttempts":3},"rules":{}}})" +
           end;
  }
};

std::string limits_text(const std::string& concurrency) {
  return "version: 1\nroutes:\n- name: lookups\n  match: {class: lookup}\n  concurrency: " + concurrency +
         "\n...\n";
}
std::string limits_text(int concurrency) { return limits_text(std::to_string(concurrency)); }

std::string fleet_text(int revision, const std::string& store = "store: /tmp/none\n") {
  return "version: 1\nfleet: {name: test, number: 1}\nrevision: " + std::to_string(revision) +
         "\nlargest: 3\nlease: {term: 3s, drift: 1%}\nkeepers:\n- {id: 1, name: c0, address: "
         "127.0.0.1:7201}\n" +
         store + "...\n";
}

int concurrency_of(const OperatorConfiguration& operators) {
  return operators.limits->routes().front()->bounds.concurrency->value.most;
}

bool any_contains(const std::vector<std::string>& lines, const std::string& part) {
  return std::any_of(lines.begin(), lines.end(),
                     [&](const std::string& line) { return line.find(part) != std::string::npos; });
}

class ReloaderTest : public ::testing::Test {
 protected:
  ReloaderTest() {
    std::string pattern = (std::filesystem::temp_directory_path() / "orchidgw-reload-XXXXXX").string();
    folder = ::mkdtemp(pattern.data());
    config.operator_file = '"' + path("limits.yaml") + '"';
    config.fleet_file = '"' + path("fleet.yaml") + '"';
    sources.config = path("config.json");
    write_good_files(1);
  }
  ~ReloaderTest() override { std::filesystem::remove_all(folder); }

  std::string path(const std::string& name) const { return folder / name; }
  std::string path(ConfigFile file) const {
    constexpr std::array kNames = {"config.json", "limits.yaml", "fleet.yaml"};
    return path(kNames[static_cast<std::size_t>(file)]);
  }

  void write(const std::string& name, const std::string& text) const {
    std::filesystem::remove_all(path(name));
    std::ofstream(path(name)) << text;
  }
  // Version `n` of a file: the change log's port, the route's concurrency and the fleet's revision follow it.
  void write_good(ConfigFile file, int n) {
    config.change_log = "\"127.0.0.1:" + std::to_string(9000 + n) + '"';
    if (file == ConfigFile::kPlatform) write("config.json", config.text());
    if (file == ConfigFile::kOperators) write("limits.yaml", limits_text(n));
    if (file == ConfigFile::kFleet) write("fleet.yaml", fleet_text(n));
  }
  void write_good_files(int n) {
    for (const ConfigFile file : kConfigFiles) write_good(file, n);
  }
  void write_config() const { write("config.json", config.text()); }

  void start() { reloader.emplace(sources, load(sources)); }
  ReloadedFiles reload() {
    now.monotonic += kSecond;
    now.wall.unix_us += kSecond;
    return reloader->reload(now);
  }
  const FileStates& states() const { return reloader->states(); }

  // Whether version `n` of the file was taken over.
  static bool has_version(const ReloadedFiles& files, ConfigFile file, int n) {
    if (file == ConfigFile::kPlatform)
      return files.platform && files.platform->change_log && files.platform->change_log->port == 9000 + n;
    if (file == ConfigFile::kOperators) return files.operators && concurrency_of(*files.operators) == n;
    return files.fleet && files.fleet->revision == static_cast<std::uint64_t>(n);
  }

  std::filesystem::path folder;
  ConfigText config;
  Sources sources;
  std::optional<Reloader> reloader;
  ReloadTime now{10 * kSecond, {1'796'664'268 * kSecond}};
};

// A way in which a file can be bad as a whole.
struct BadForm {
  const char* name;
  const char* reason;  // in the line on a file in YAML
  std::function<void(const std::string& path)> make;
};

void truncate_to_half(const std::string& path) {
  std::filesystem::resize_file(path, std::filesystem::file_size(path) / 2);
}

const std::vector<BadForm>& bad_forms() {
  static const std::vector<BadForm> forms = {
      {"Missing", "No such file or directory",
       [](const std::string& path) { std::filesystem::remove(path); }},
      {"Empty", "", [](const std::string& path) { std::filesystem::resize_file(path, 0); }},
      {"HalfWritten", "", truncate_to_half},
      {"TooLarge", "over ",
       [](const std::string& path) {
         std::ofstream(path, std::ios::app) << std::string(kTooManyBytes, '\n') << "...\n";
       }},
      {"NoText", "", [](const std::string& path) { std::ofstream(path) << std::string(100, '\0'); }},
      {"Folder", "not a plain file",
       [](const std::string& path) {
         std::filesystem::remove(path);
         std::filesystem::create_directory(path);
       }},
      {"Pipe", "not a plain file",
       [](const std::string& path) {
         std::filesystem::remove(path);
         ::mkfifo(path.c_str(), S_IRUSR | S_IWUSR);
       }},
      {"LinkToItself", "Too many levels of symbolic links",
       [](const std::string& path) {
         std::filesystem::remove(path);
         std::filesystem::create_symlink(path, path);
       }},
      {"BelowAFile", "Not a directory",
       [](const std::string& path) {
         std::filesystem::remove(path);
         std::ofstream(path + ".plain") << "plain";
         std::filesystem::create_symlink(path + ".plain/below", path);
       }},
  };
  return forms;
}

class BadFile : public ReloaderTest,
                public ::testing::WithParamInterface<std::tuple<ConfigFile, std::size_t>> {
 protected:
  ConfigFile bad_file = std::get<0>(GetParam());
  const BadForm& form = bad_forms()[std::get<1>(GetParam())];
};

// Guards against a file whose fault keeps a good file of someone else from being taken over.
TEST_P(BadFile, IsRefusedByItselfAndTakenOverOnceItIsGood) {
  start();
  write_good_files(2);
  form.make(path(bad_file));
  const ReloadedFiles with_bad = reload();
  for (const ConfigFile file : kConfigFiles) {
    EXPECT_EQ(has_version(with_bad, file, 2), file != bad_file) << name_of(file);
    EXPECT_EQ(states().is_refused(file), file == bad_file) << name_of(file);
  }
  ASSERT_EQ(with_bad.errors.size(), 1U);
  EXPECT_NE(with_bad.errors[0].find(path(bad_file)), std::string::npos) << with_bad.errors[0];
  EXPECT_NE(with_bad.errors[0].find(form.reason), std::string::npos) << with_bad.errors[0];
  EXPECT_FALSE(reloader->retry_needed());
  write_good(bad_file, 3);
  const ReloadedFiles with_good = reload();
  EXPECT_TRUE(has_version(with_good, bad_file, 3));
  EXPECT_FALSE(states().any_refused());
  EXPECT_TRUE(with_good.errors.empty());
}

// The other order: the bad version comes alone, after a reload in which all were good.
TEST_P(BadFile, AfterAGoodOneIsRefusedByItself) {
  start();
  write_good_files(2);
  reload();
  EXPECT_FALSE(states().any_refused());
  form.make(path(bad_file));
  const ReloadedFiles files = reload();
  for (const ConfigFile file : kConfigFiles) {
    EXPECT_EQ(has_version(files, file, 2), file != bad_file) << name_of(file);
    EXPECT_EQ(states().is_refused(file), file == bad_file) << name_of(file);
  }
}

INSTANTIATE_TEST_SUITE_P(Forms, BadFile,
                         ::testing::Combine(::testing::ValuesIn(kConfigFiles),
                                            ::testing::Range(std::size_t{0}, bad_forms().size())),
                         [](const auto& tested) {
                           return name_of(std::get<0>(tested.param)) + std::string("_") +
                                  bad_forms()[std::get<1>(tested.param)].name;
                         });

TEST_F(ReloaderTest, OfTwoBadFilesEachIsRefusedAndMadeGoodByItself) {
  start();
  write_good_files(2);
  write("config.json", "{");
  write("limits.yaml", "version: 1\n");
  const ReloadedFiles both_bad = reload();
  EXPECT_EQ(both_bad.errors.size(), 2U);
  EXPECT_TRUE(has_version(both_bad, ConfigFile::kFleet, 2));
  write_good(ConfigFile::kOperators, 3);
  const ReloadedFiles one_bad = reload();
  EXPECT_TRUE(has_version(one_bad, ConfigFile::kOperators, 3));
  EXPECT_FALSE(one_bad.platform);
  EXPECT_TRUE(states().is_refused(ConfigFile::kPlatform));
  EXPECT_FALSE(states().is_refused(ConfigFile::kOperators));
}

// Guards against a drain that is never heard: the change log's address counts whatever else the file states.
TEST_F(ReloaderTest, AFieldWithAFaultKeepsNoOtherOfTheConfigurationFromBeingTakenOver) {
  struct BadField {
    const char* name;
    std::string ConfigText::*field;
  };
  start();
  for (const BadField& bad :
       {BadField{"'known'", &ConfigText::known}, BadField{"'operatorFile'", &ConfigText::operator_file},
        BadField{"'fleetFile'", &ConfigText::fleet_file}}) {
    ConfigText text = config;
    text.change_log = R"("127.0.0.1:9002")";
    text.*bad.field = "17";
    write("config.json", text.text());
    const ReloadedFiles files = reload();
    EXPECT_TRUE(has_version(files, ConfigFile::kPlatform, 2)) << bad.name;
    EXPECT_TRUE(states().is_refused(ConfigFile::kPlatform)) << bad.name;
    ASSERT_EQ(files.errors.size(), 1U) << bad.name;
    EXPECT_NE(files.errors[0].find(path("config.json") + ": field " + bad.name), std::string::npos)
        << files.errors[0];
    EXPECT_TRUE(has_version(files, ConfigFile::kOperators, 1)) << bad.name;
    EXPECT_TRUE(has_version(files, ConfigFile::kFleet, 1)) << bad.name;
  }
}

TEST_F(ReloaderTest, KnownEventsAreTakenOverBesideABadAddressOfTheChangeLog) {
  start();
  config.change_log = R"("nowhere")";
  config.known = R"({"seq":7,"results":[]})";
  write_config();
  const ReloadedFiles files = reload();
  ASSERT_TRUE(files.platform);
  EXPECT_FALSE(files.platform->change_log);
  ASSERT_TRUE(files.platform->initial_engine_list);
  EXPECT_EQ(files.platform->initial_engine_list->last, 7U);
  EXPECT_TRUE(any_contains(files.errors, "config.json: field 'changelog': "));
}

// Guards against a running controller that refuses a file for a field that it does not read again.
TEST_F(ReloaderTest, AFaultInAFieldOfTheStartIsReportedAndRefusesNothing) {
  struct BadField {
    const char* reason;
    std::string ConfigText::*field;
    const char* value;
  };
  start();
  for (const BadField& bad : {BadField{"field 'listen'", &ConfigText::listen, "17"},
                              BadField{"field 'limits.memory_mb'", &ConfigText::memory_mb, "0"},
                              BadField{"field 'classes'", &ConfigText::classes, "17"}}) {
    ConfigText text = config;
    text.change_log = R"("127.0.0.1:9002")";
    text.*bad.field = bad.value;
    write("config.json", text.text());
    const ReloadedFiles files = reload();
    EXPECT_TRUE(has_version(files, ConfigFile::kPlatform, 2)) << bad.reason;
    EXPECT_FALSE(states().any_refused()) << bad.reason;
    EXPECT_TRUE(files.errors.empty()) << bad.reason;
    ASSERT_EQ(files.warnings.size(), 1U) << bad.reason;
    EXPECT_NE(files.warnings[0].find("a start would refuse " + path("config.json") + ": " + bad.reason),
              std::string::npos)
        << files.warnings[0];
    EXPECT_THROW(load(sources), std::exception) << bad.reason;
  }
}

TEST_F(ReloaderTest, AKeeperWithoutAFolderIsAFaultOfTheStartAlone) {
  start();
  write("fleet.yaml", fleet_text(2, ""));
  const ReloadedFiles files = reload();
  EXPECT_TRUE(has_version(files, ConfigFile::kFleet, 2));
  EXPECT_TRUE(any_contains(files.warnings, "a start would refuse " + path("fleet.yaml") + ": store: "));
  EXPECT_THROW(load(sources), ConfigurationError);
}

// The path is the platform's, what stands at it is the operators'.
TEST_F(ReloaderTest, ANewPathIsTakenOverAlsoWhereItsFileIsBad) {
  start();
  config.operator_file = '"' + path("moved.yaml") + '"';
  write_good(ConfigFile::kPlatform, 2);
  const ReloadedFiles moved = reload();
  EXPECT_TRUE(has_version(moved, ConfigFile::kPlatform, 2));
  EXPECT_FALSE(moved.operators);
  EXPECT_FALSE(states().is_refused(ConfigFile::kPlatform));
  EXPECT_TRUE(states().is_refused(ConfigFile::kOperators));
  EXPECT_TRUE(any_contains(moved.errors, "moved.yaml: No such file or directory"));
  write("config.json", "");
  write("moved.yaml", limits_text(3));
  const ReloadedFiles appeared = reload();
  EXPECT_TRUE(has_version(appeared, ConfigFile::kOperators, 3));
  EXPECT_TRUE(states().is_refused(ConfigFile::kPlatform));
}

TEST_F(ReloaderTest, AFileThatIsNoLongerNamedLeavesNoLimitsAndIsNotRefused) {
  start();
  write("limits.yaml", "");
  reload();
  EXPECT_TRUE(states().is_refused(ConfigFile::kOperators));
  config.operator_file = "";
  write_config();
  const ReloadedFiles files = reload();
  ASSERT_TRUE(files.operators);
  EXPECT_EQ(files.operators->limits, nullptr);
  EXPECT_FALSE(states().any_refused());
  EXPECT_NE(states().status(now.monotonic).find("file operators none\n"), std::string::npos);
}

// Guards against limits that end because the platform's file was written without some of its fields.
TEST_F(ReloaderTest, APathThatIsMissingFromABadFileStaysInForce) {
  start();
  for (const char* text : {"{}", R"({"changelog":"127.0.0.1:9002"})"}) {
    write("config.json", text);
    const ReloadedFiles files = reload();
    EXPECT_TRUE(has_version(files, ConfigFile::kOperators, 1)) << text;
    EXPECT_TRUE(has_version(files, ConfigFile::kFleet, 1)) << text;
  }
}

TEST_F(ReloaderTest, AFlagDecidesThePathWhateverTheFileNames) {
  sources.limits = path("flag.yaml");
  write("flag.yaml", limits_text(4));
  start();
  config.operator_file = R"("/nowhere")";
  write_config();
  const ReloadedFiles files = reload();
  ASSERT_TRUE(files.operators);
  EXPECT_EQ(concurrency_of(*files.operators), 4);
}

// Guards against limits that are checked against values which only the next start puts into force.
TEST_F(ReloaderTest, LimitsAreCheckedAgainstTheSettingsAndTheMemoryThatAreInForce) {
  start();
  config.classes = R"([{"name":"report","aim":200000,"deadline":4000000,"effect":"idempotent"}])";
  config.memory_mb = "1";  // allows six routes
  write_config();
  std::string text = "version: 1\nroutes:\n";
  for (int i = 0; i < 20; ++i)
    text += "- {name: r" + std::to_string(i) + ", match: {class: lookup, table: t" + std::to_string(i) +
            ".a}, concurrency: 3}\n";
  write("limits.yaml", text + "...\n");
  const ReloadedFiles files = reload();
  EXPECT_TRUE(files.operators);
  EXPECT_TRUE(files.errors.empty()) << files.errors[0];
  write("limits.yaml", "version: 1\nroutes:\n- {name: r, match: {class: report}, concurrency: 3}\n...\n");
  EXPECT_TRUE(any_contains(reload().errors, "limits.yaml:3:28: routes[0].match.class: "));
}

TEST_F(ReloaderTest, LimitsOfAFleetNeedTheFleetThatTheControllerIsIn) {
  start();
  write("limits.yaml", limits_text("{most: 2, scope: fleet}"));
  write("fleet.yaml", "");  // in force is the last good version
  EXPECT_TRUE(has_version(reload(), ConfigFile::kOperators, 2));
  config.fleet_file = "";  // a controller leaves its fleet only by its end
  write_config();
  EXPECT_TRUE(has_version(reload(), ConfigFile::kOperators, 2));
}

TEST_F(ReloaderTest, AFleetThatIsNamedLaterHasNoEffectBeforeTheNextStart) {
  const std::string fleet_file = config.fleet_file;
  config.fleet_file = "";
  write_config();
  start();
  config.fleet_file = fleet_file;
  write_config();
  write("limits.yaml", limits_text("{most: 2, scope: fleet}"));
  const ReloadedFiles files = reload();
  EXPECT_FALSE(files.operators);
  EXPECT_TRUE(any_contains(files.errors, "scope: fleet needs a fleet"));
  EXPECT_TRUE(any_contains(files.warnings, "fleet.yaml: a controller joins a fleet at its start only"));
}

// Leaves this process no descriptor while it exists.
class NoDescriptors {
 public:
  NoDescriptors() {
    ::getrlimit(RLIMIT_NOFILE, &before_);
    rlimit none = before_;
    none.rlim_cur = 0;
    ::setrlimit(RLIMIT_NOFILE, &none);
  }
  ~NoDescriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;

 private:
  rlimit before_{};
};

TEST_F(ReloaderTest, WhatALackOfDescriptorsKeptFromBeingReadIsReadAgainAndNothingElse) {
  start();
  write_good_files(2);
  {
    const NoDescriptors none;
    const ReloadedFiles files = reload();
    EXPECT_FALSE(files.platform || files.operators || files.fleet);
    EXPECT_EQ(files.errors.size(), 3U);
    EXPECT_TRUE(reloader->retry_needed());
    EXPECT_TRUE(reloader->retry(now).errors.empty()) << "a fault that is known was reported again";
  }
  write("limits.yaml", "");
  const ReloadedFiles retried = reloader->retry(now);
  EXPECT_TRUE(has_version(retried, ConfigFile::kPlatform, 2));
  EXPECT_TRUE(has_version(retried, ConfigFile::kFleet, 2));
  EXPECT_EQ(retried.errors.size(), 1U);
  EXPECT_FALSE(reloader->retry_needed());
  write_good(ConfigFile::kOperators, 3);
  EXPECT_FALSE(reloader->retry(now).operators) << "a bad file is read again with the next reload";
  EXPECT_TRUE(has_version(reload(), ConfigFile::kOperators, 3));
}

TEST_F(ReloaderTest, StatusAndCountersSayWhichFileIsRefusedAndSinceWhen) {
  start();
  write("limits.yaml", limits_text(2) + "more: 1\n");
  reload();
  now.monotonic += 34 * kSecond;
  write("limits.yaml", "version: 1\nrutes: []\n...\n");  // another fault: refused since the first
  reload();
  EXPECT_EQ(states().status(now.monotonic),
            "file platform in_force " + path("config.json") +
                "\nfile operators refused since 2026-12-07T17:24:29Z for 35 s: " + path("limits.yaml") +
                ":2:1: rutes: unknown field\nfile fleet in_force " + path("fleet.yaml") + "\n");
  std::ostringstream counters;
  states().print_counters(counters);
  EXPECT_EQ(counters.str(),
            "counter config.refused.platform 0\ncounter config.refused.operators 1 since_unix_s 1796664269\n"
            "counter config.refused.fleet 0\n");
}

// A start has no last good version: it names the faults of all files, not of the first alone.
TEST_F(ReloaderTest, AStartNamesTheFaultsOfAllFiles) {
  write("limits.yaml", "version: 1\n");
  write("fleet.yaml", fleet_text(0));
  try {
    load(sources);
    FAIL() << "the start was not refused";
  } catch (const ConfigurationError& error) {
    EXPECT_TRUE(any_contains(error.lines(), path("limits.yaml")));
    EXPECT_TRUE(any_contains(error.lines(), path("fleet.yaml")));
  }
}

}  // namespace
}  // namespace orchidgw::configuration
