// Operator files with one error each: every one is refused with the line, the path and the exact reason.
#include <set>

#include "deployment.h"

namespace orchidgw::limits {
namespace {

struct BadFile {
  const char* name;
  std::string body;  // between "version: 1" and the end marker
  std::vector<std::string> faults;
};

std::string route_file(const std::string& match, const std::string& bounds) {
  return "routes:\n- name: r\n  match: {" + match + "}\n" + bounds;
}

std::string nested_lists(int depth) {
  return "routes: " + std::string(static_cast<std::size_t>(depth), '[') +
         std::string(static_cast<std::size_t>(depth), ']') + "\n";
}

std::vector<BadFile> files_with_bad_syntax() {
  return {
      {"unknown_field", "rutes: []\n", {"f:2:1: rutes: unknown field"}},
      {"unknown_field_of_a_route",
       route_file("class: lookup", "  time_out: 1s\n"),
       {"f:5:3: routes[0].time_out: unknown field"}},
      {"unknown_field_of_a_match",
       route_file("klass: lookup", ""),
       {"f:4:11: routes[0].match.klass: unknown field"}},
      {"key_twice",
       "defaults: {attempts: 1}\ndefaults: {attempts: 2}\n",
       {"f:3:1: the key 'defaults' stands here twice"}},
      {"key_twice_in_a_route",
       route_file("class: lookup", "  timeout: 1s\n  timeout: 2s\n"),
       {"f:6:3: the key 'timeout' stands here twice"}},
      {"anchor", "defaults: &a {attempts: 1}\n", {"f:2:11: anchors are not taken"}},
      {"alias", "defaults: *a\n", {"f:2:11: no YAML: the referenced anchor is not defined"}},
      {"tag", "defaults: !!map {attempts: 1}\n", {"f:2:11: tags are not taken"}},
      {"merge_key", "defaults: {<<: {attempts: 1}}\n", {"f:2:12: defaults.<<: unknown field"}},
      {"list_for_a_map", "defaults: [1]\n", {"f:2:11: defaults: a map of fields is wanted"}},
      {"map_for_a_list", "routes: {name: r}\n", {"f:2:9: routes: a list of routes is wanted"}},
      {"a_key_that_is_a_list", "defaults: {[a]: 1}\n", {"f:2:12: a key must be a word"}},
      {"no_value", "defaults:\n", {"f:2:1: defaults: the field has no value"}},
      {"tilde", "defaults: {timeout: ~}\n", {"f:2:12: defaults.timeout: the field has no value"}},
      {"unbalanced", "defaults: {attempts: 1\n", {"f:3:1: no YAML: end of map flow not found"}},
      {"tab_for_indentation", "defaults:\n\tattempts: 1\n", {"f:3:10: no YAML: illegal map value"}},
      {"nested_too_deeply", nested_lists(20), {"f:2:20: nested too deeply"}},
      {"two_documents", "---\nversion: 1\n", {"f:1:1: more than one document"}},
      {"time_without_unit",
       "defaults: {timeout: 250}\n",
       {"f:2:21: defaults.timeout: a time with its unit is wanted, like 250ms, 2s or 5m, an hour at most"}},
      {"time_of_zero", "defaults: {timeout: 0ms}\n", {"f:2:21: defaults.timeout: a time above 0 is wanted"}},
      {"negative_time",
       "defaults: {timeout: -1s}\n",
       {"f:2:21: defaults.timeout: a time with its unit is wanted, like 250ms, 2s or 5m, an hour at most"}},
      {"unknown_unit",
       "defaults: {timeout: 1h}\n",
       {"f:2:21: defaults.timeout: a time with its unit is wanted, like 250ms, 2s or 5m, an hour at most"}},
      {"time_past_all_numbers",
       "defaults: {timeout: 99999999999999999999s}\n",
       {"f:2:21: defaults.timeout: a time with its unit is wanted, like 250ms, 2s or 5m, an hour at most"}},
      {"attempts_that_are_a_word",
       "defaults: {attempts: two}\n",
       {"f:2:22: defaults.attempts: a whole number from 1 to 100 is wanted"}},
      {"attempts_in_quotes",
       "defaults: {attempts: \"2\"}\n",
       {"f:2:22: defaults.attempts: a whole number from 1 to 100 is wanted"}},
      {"attempts_of_zero",
       "defaults: {attempts: 0}\n",
       {"f:2:22: defaults.attempts: a whole number from 1 to 100 is wanted"}},
      {"half_an_attempt",
       "defaults: {attempts: 1.5}\n",
       {"f:2:22: defaults.attempts: a whole number from 1 to 100 is wanted"}},
      {"share_over_one",
       "retries: {share: 120%}\n",
       {"f:2:18: retries.share: a share is wanted: 0 to 1, or 0% to 100%"}},
      {"share_missing", "retries: {floor: 1}\n", {"f:2:10: retries.share: missing"}},
      {"copy_of_no_kind",
       "defaults: {second_copy: often}\n",
       {"f:2:25: defaults.second_copy: 'never', after or after_quantile is wanted"}},
      {"copy_of_both_kinds",
       "defaults: {second_copy: {after: 1s, after_quantile: 0.9}}\n",
       {"f:2:25: defaults.second_copy: one of after and after_quantile is wanted"}},
      {"copy_bounds_without_quantile",
       "defaults: {second_copy: {after: 1s, at_most: 2s}}\n",
       {"f:2:25: defaults.second_copy: at_least and at_most go with after_quantile"}},
      {"quantile_below_the_median",
       "defaults: {second_copy: {after_quantile: 0.2}}\n",
       {"f:2:42: defaults.second_copy.after_quantile: a number from 0.5 to 0.999 is wanted"}},
      {"retry_on_a_word",
       "defaults: {retry_on: error}\n",
       {"f:2:22: defaults.retry_on: a list of ends is wanted"}},
      {"retry_on_an_unknown_end",
       "defaults: {retry_on: [oops]}\n",
       {"f:2:23: defaults.retry_on: one of these is wanted: error, full, timeout, connect_failed, reset"}},
      {"retry_on_twice",
       "defaults: {retry_on: [full, full]}\n",
       {"f:2:29: defaults.retry_on: 'full' stands here twice"}},
      {"factor_below_one",
       "defaults: {back_off: {first: 10ms, factor: 0.5}}\n",
       {"f:2:44: defaults.back_off.factor: a number from 1 to 10 is wanted"}},
      {"back_off_without_first",
       "defaults: {back_off: {most: 1s}}\n",
       {"f:2:22: defaults.back_off.first: missing"}},
      {"concurrency_without_most",
       "defaults: {concurrency: {least: 2}}\n",
       {"f:2:25: defaults.concurrency.most: missing"}},
      {"concurrency_below_zero",
       "defaults: {concurrency: -1}\n",
       {"f:2:25: defaults.concurrency: a whole number from 0 to 1000000 is wanted"}},
      {"burst_below_one",
       "defaults: {rate: {per_second: 5, burst: 0}}\n",
       {"f:2:41: defaults.rate.burst: a number from 1 to 1000000 is wanted"}},
      {"rate_that_is_a_list",
       "defaults: {rate: [5]}\n",
       {"f:2:18: defaults.rate: a map of fields is wanted"}},
      {"rate_too_small_to_count",
       "defaults: {rate: {per_second: 0.0001}}\n",
       {"f:2:18: defaults.rate.per_second: 0, or 0.001 and more is wanted"}},
      {"route_without_name", "routes:\n- match: {class: lookup}\n", {"f:3:3: routes[0].name: missing"}},
      {"route_without_match", "routes:\n- name: r\n", {"f:3:3: routes[0].match: missing"}},
      {"route_that_matches_all",
       route_file("", ""),
       {"f:4:10: routes[0].match: matches everything: that is what defaults are for"}},
      {"route_name_with_spaces",
       "routes:\n- name: a b\n  match: {class: lookup}\n",
       {"f:3:9: routes[0].name: a name of letters, digits, '-', '_' and '.' is wanted, 64 at most"}},
      {"table_in_upper_case",
       route_file("table: Sales_1.orders", ""),
       {"f:4:18: routes[0].match.table: a table like sales_17.orders or a prefix like sales_* is wanted, in "
        "lower "
        "case"}},
      {"table_that_is_a_star",
       route_file("table: '*'", ""),
       {"f:4:18: routes[0].match.table: a table like sales_17.orders or a prefix like sales_* is wanted, in "
        "lower "
        "case"}},
      {"key_of_no_kind",
       route_file("key: maybe", ""),
       {"f:4:16: routes[0].match.key: one of these is wanted: given, absent"}},
      {"log_level_unknown",
       "log: {level: loud}\n",
       {"f:2:14: log.level: one of these is wanted: error, warn, info, debug"}},
      {"log_component_unknown",
       "log: {components: {disk: info}}\n",
       {"f:2:20: log.components.disk: unknown field"}},
      {"all_faults_are_said",
       "rutes: 1\ndefaults: {timeout: 1, attempts: x}\n",
       {"f:2:1: rutes: unknown field",
        "f:3:21: defaults.timeout: a time with its unit is wanted, like 250ms, 2s or 5m, an hour at most",
        "f:3:34: defaults.attempts: a whole number from 1 to 100 is wanted"}},
  };
}

std::vector<BadFile> files_with_bad_semantics() {
  const std::string two = "routes:\n- name: a\n  match: {class: lookup}\n- name: b\n  match: ";
  return {
      {"class_that_the_settings_lack",
       route_file("class: lokup", ""),
       {"f:4:18: routes[0].match.class: the settings have no class 'lokup'"}},
      {"tenant_that_the_settings_lack",
       route_file("tenant: nobody", ""),
       {"f:4:19: routes[0].match.tenant: the settings have no tenant 'nobody'"}},
      {"keyed_class_without_key",
       route_file("class: load, key: absent", ""),
       {"f:4:29: routes[0].match.key: never matches: queries of class 'load' always carry a key"}},
      {"name_twice",
       "routes:\n- name: a\n  match: {class: lookup}\n- name: a\n  match: {class: report}\n",
       {"f:5:3: routes[1].name: another route has this name: line 3"}},
      {"name_that_is_taken",
       "routes:\n- name: defaults\n  match: {class: lookup}\n",
       {"f:3:3: routes[0].name: the name 'defaults' is taken"}},
      {"like_an_unknown_route",
       route_file("class: lookup", "  like: x\n"),
       {"f:5:9: routes[0].like: no route has the name 'x'"}},
      {"like_itself",
       route_file("class: lookup", "  like: r\n"),
       {"f:5:9: routes[0].like: a route can't be like itself"}},
      {"like_over_two_levels",
       "routes:\n- name: a\n  match: {class: lookup}\n- name: b\n  match: {class: report}\n  like: a\n"
       "- name: c\n  match: {class: once}\n  like: b\n",
       {"f:10:9: routes[2].like: one level only: 'b' is like another route itself"}},
      {"two_routes_that_match_alike",
       two + "{class: lookup}\n",
       {"f:5:3: routes[1].match: never matches: route 'a', line 3, matches the same"}},
      {"shadowed_by_both_keys",
       "routes:\n- name: a\n  match: {class: report}\n- name: b\n  match: {class: report, key: given}\n"
       "- name: c\n  match: {class: report, key: absent}\n",
       {"f:3:3: routes[0].match: never matches: routes of the same match state the key as given and as "
        "absent"}},
      {"shadowed_by_all_tenants",
       two + "{class: lookup, tenant: acme}\n- name: c\n  match: {class: lookup, tenant: beta}\n",
       {"f:3:3: routes[0].match: never matches: more specific routes take all of its queries"}},
      {"attempts_over_the_settings",
       "defaults: {attempts: 4}\n",
       {"f:2:22: defaults.attempts: over the settings' most of 3"}},
      {"timeout_over_the_deadline",
       route_file("class: lookup", "  timeout: 9s\n"),
       {"f:5:12: routes[0].timeout: longer than the clients' deadline of 8s"}},
      {"attempt_timeout_over_the_deadline",
       route_file("class: lookup", "  attempt_timeout: 9s\n"),
       {"f:5:20: routes[0].attempt_timeout: longer than the clients' deadline of 8s"}},
      {"hold_over_the_deadline",
       route_file("class: lookup", "  longest_hold: 9s\n"),
       {"f:5:17: routes[0].longest_hold: longer than the clients' deadline of 8s"}},
      {"attempt_timeout_not_below_timeout",
       route_file("class: lookup", "  timeout: 2s\n  attempt_timeout: 2s\n"),
       {"f:6:20: routes[0].attempt_timeout: attempt_timeout is not shorter than the timeout"}},
      {"hold_not_below_an_inherited_timeout",
       "defaults: {timeout: 2s}\n" + route_file("class: lookup", "  longest_hold: 3s\n"),
       {"f:6:17: routes[0].longest_hold: longest_hold is not shorter than the timeout"}},
      {"timeout_below_an_inherited_hold",
       "defaults: {longest_hold: 3s}\n" + route_file("class: lookup", "  timeout: 2s\n"),
       {"f:6:12: routes[0].timeout: longest_hold is not shorter than the timeout"}},
      {"back_off_first_over_most",
       "defaults: {back_off: {first: 2s, most: 1s}}\n",
       {"f:2:22: defaults.back_off.first: longer than back_off.most"}},
      {"back_off_over_the_timeout",
       route_file("class: lookup", "  timeout: 1s\n  back_off: {first: 2s}\n"),
       {"f:6:13: routes[0].back_off.first: no other attempt could begin within 1s"}},
      {"back_off_with_one_attempt",
       route_file("class: lookup", "  attempts: 1\n  back_off: {first: 20ms}\n"),
       {"f:6:13: routes[0].back_off: has no effect: there is one attempt only"}},
      {"retry_on_with_one_attempt",
       route_file("class: lookup", "  attempts: 1\n  retry_on: [full]\n"),
       {"f:6:13: routes[0].retry_on: has no effect: there is one attempt only"}},
      {"retries_with_one_attempt",
       route_file("class: lookup", "  attempts: 1\n  retries: {share: 10%}\n"),
       {"f:6:12: routes[0].retries: has no effect: there is one attempt only"}},
      {"copy_with_one_attempt",
       route_file("class: lookup", "  attempts: 1\n  second_copy: {after: 1s}\n"),
       {"f:6:16: routes[0].second_copy: has no effect: there is one attempt only"}},
      {"copy_of_an_unsafe_class",
       route_file("class: once", "  second_copy: {after: 1s}\n"),
       {"f:5:16: routes[0].second_copy: the class 'once' forbids repeats"}},
      {"copy_of_a_class_in_order",
       route_file("class: ordered", "  second_copy: {after: 1s}\n"),
       {"f:5:16: routes[0].second_copy: the class 'ordered' keeps an order: no copies"}},
      {"copy_that_an_unsafe_class_inherits",
       "routes:\n- name: a\n  match: {class: lookup}\n  second_copy: {after: 1s}\n- name: b\n"
       "  match: {class: once}\n  like: a\n",
       {"f:5:16: routes[1].second_copy: the class 'once' forbids repeats"}},
      {"copy_past_the_deadline",
       route_file("class: lookup", "  second_copy: {after: 8s}\n"),
       {"f:5:16: routes[0].second_copy.after: not before the clients' deadline"}},
      {"copy_past_the_timeout",
       route_file("class: lookup", "  timeout: 2s\n  second_copy: {after: 3s}\n"),
       {"f:6:16: routes[0].second_copy.after: not before the timeout"}},
      {"copy_bounds_that_cross",
       route_file("class: lookup", "  second_copy: {after_quantile: 0.9, at_least: 2s, at_most: 1s}\n"),
       {"f:5:16: routes[0].second_copy.at_least: longer than second_copy.at_most"}},
      {"copy_outside_the_key's_window",
       route_file("class: load", "  second_copy: {after: 12s}\n"),
       {"f:5:16: routes[0].second_copy.after: the copy would come after the window of 12s in which engines "
        "drop "
        "repeats of class 'load'"}},
      {"copy_of_a_keyed_class_without_bound",
       route_file("class: load", "  second_copy: {after_quantile: 0.9}\n"),
       {"f:5:16: routes[0].second_copy.at_most: needed, below the window of 12s in which engines drop "
        "repeats of "
        "class 'load'"}},
      {"copy_outside_the_key's_scope",
       route_file("class: cell-load", "  second_copy: {after: 1s}\n"),
       {"f:5:16: routes[0].second_copy: engines drop repeats of class 'cell-load' only within a part of the "
        "fleet"}},
      {"attempt_outside_the_key's_window",
       route_file("class: load", "  attempt_timeout: 12s\n"),
       {"f:5:20: routes[0].attempt_timeout: another attempt would come after the window of 12s in which "
        "engines "
        "drop repeats of class 'load'"}},
      {"back_off_outside_the_key's_window",
       route_file("class: load", "  back_off: {first: 13s, most: 14s}\n"),
       {"f:5:13: routes[0].back_off.first: another attempt would come after the window of 12s in which "
        "engines "
        "drop repeats of class 'load'"}},
      {"retry_of_an_unsafe_class_that_may_have_run",
       route_file("class: once", "  retry_on: [full, error]\n"),
       {"f:5:13: routes[0].retry_on: the class 'once' forbids repeats: after 'error' it may have run"}},
      {"adaptive_bound_upside_down",
       route_file("class: lookup", "  concurrency: {least: 9, most: 8}\n"),
       {"f:5:16: routes[0].concurrency.least: above concurrency.most"}},
      {"line_for_nothing",
       route_file("class: lookup", "  line: 5\n"),
       {"f:5:9: routes[0].line: has no effect: neither a rate nor a concurrency is stated"}},
      {"share_over_the_rule",
       "retries: {share: 0.3, floor: 1}\n",
       {"f:2:10: retries.share: over the rule: a share of 0.2 at most"}},
      {"floor_over_the_rule",
       "retries: {share: 0.1, floor: 3}\n",
       {"f:2:10: retries.floor: over the rule: 2 at most in any 10s"}},
      {"short_window_over_the_rule",
       "retries: {share: 0.1, floor: 1, window: 1s}\n",
       {"f:2:10: retries.floor: over the rule: 2 at most in any 10s"}},
      {"floors_of_all_routes_over_the_rule",
       "defaults: {retries: {share: 0.1, floor: 1}}\nroutes:\n- name: a\n  match: {class: lookup}\n"
       "  retries: {share: 0.1, floor: 2}\n",
       {"f:2:21: retries: the floors of all routes add up to 3, over the rule's 2: state retries over all "
        "routes"}},
      {"closed_by_a_rate",
       route_file("class: lookup", "  rate: {per_second: 0}\n"),
       {"f:5:9: routes[0].rate: closes the class 'lookup': no other route lets its queries in"}},
      {"closed_by_a_bound",
       route_file("class: lookup", "  concurrency: 0\n"),
       {"f:5:16: routes[0].concurrency: closes the class 'lookup': no other route lets its queries in"}},
  };
}

void expect_refused(const std::vector<BadFile>& files) {
  std::set<std::string> names;
  for (const BadFile& file : files) {
    SCOPED_TRACE(file.name);
    EXPECT_TRUE(names.insert(file.name).second);
    EXPECT_EQ(faults_in(operator_file_text(file.body), test_settings()), file.faults);
  }
}

TEST(BadFiles, OfABadFormAreRefusedWithTheirReason) { expect_refused(files_with_bad_syntax()); }

TEST(BadFiles, OfABadSenseAreRefusedWithTheirReason) { expect_refused(files_with_bad_semantics()); }

TEST(BadFiles, AreManyAndOfAllKinds) {
  EXPECT_GE(files_with_bad_syntax().size() + files_with_bad_semantics().size(), 60U);
}

TEST(BadFiles, CopiesWhereTheSettingsForbidTwoInFlight) {
  Settings settings = test_settings();
  settings.limits.second_copies = false;
  EXPECT_EQ(
      faults_in(operator_file_text(route_file("class: lookup", "  second_copy: {after: 1s}\n")), settings),
      std::vector<std::string>{"f:5:16: routes[0].second_copy: the settings forbid two attempts in flight"});
}

TEST(BadFiles, WithoutAVersionOrOfAnother) {
  EXPECT_EQ(faults_in("defaults: {attempts: 1}\n...\n", test_settings()),
            std::vector<std::string>{"f:1:1: version: missing"});
  EXPECT_EQ(faults_in("version: 2\n...\n", test_settings()),
            std::vector<std::string>{"f:1:10: version: this program reads version 1 alone"});
}

TEST(BadFiles, EmptyOrHalfWritten) {
  for (const std::string text :
       {"", "version: 1\n", "version: 1\ndefaults:\n  attempts: 2\n", "version: 1\n.."}) {
    const auto faults = faults_in(text, test_settings());
    ASSERT_EQ(faults.size(), 1U) << text;
    EXPECT_NE(faults[0].find("half a file: the line '...' at its end is missing"), std::string::npos)
        << faults[0];
  }
}

// Guards against a truncated file that passes for a valid one.
TEST(BadFiles, NoPrefixOfAGoodFileIsTaken) {
  const std::string valid =
      operator_file_text("defaults:\n  attempts: 2\n" + route_file("class: lookup", "  timeout: 2s\n"));
  ASSERT_TRUE(faults_in(valid, test_settings()).empty());
  for (std::size_t n = 0; n + 1 < valid.size(); ++n)
    EXPECT_FALSE(faults_in(valid.substr(0, n), test_settings()).empty()) << n;
}

TEST(BadFiles, ThatAreNoText) {
  const auto first_fault = [](const std::string& text) { return faults_in(text, test_settings()).at(0); };
  EXPECT_EQ(first_fault("version: 1\nlog: \xff\n...\n"), "f:2:6: not a text in UTF-8");
  EXPECT_EQ(first_fault("version: 1\n\xc0\xaf\n...\n"), "f:2:1: not a text in UTF-8");
  EXPECT_EQ(first_fault("version: 1\n\xed\xa0\x80\n...\n"), "f:2:1: not a text in UTF-8");
  EXPECT_EQ(first_fault(std::string("version: 1\n\0\n...\n", 17)), "f:2:1: not a text in UTF-8");
  EXPECT_EQ(first_fault(std::string(1024 * 1024 + 1, '#')), "f:1:1: over 1048576 bytes");
}

TEST(BadFiles, OfMoreRoutesThanTheMemoryAllows) {
  std::string body = "routes:\n";
  for (int i = 0; i < 4; ++i)
    body += "- {name: r" + std::to_string(i) + ", match: {table: t" + std::to_string(i) + "}}\n";
  const auto read = operator_file::read_operator_file(operator_file_text(body));
  const auto faults = check(test_settings(), read.file.limits, 3);
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(operator_file::fault_line("f", faults[0]),
            "f:6:3: routes: more routes than the memory limit allows: 3 at most");
}

// Guards against anchors that expand exponentially: they are refused before any is expanded.
TEST(BadFiles, ABillionLaughs) {
  std::string body = "a: &a [x, x, x, x, x, x, x, x, x]\n";
  for (char c = 'b'; c < 'k'; ++c) {
    body += std::string(1, c) + ": &" + c + " [";
    for (int i = 0; i < 9; ++i) body += std::string(i > 0 ? ", *" : "*") + static_cast<char>(c - 1);
    body += "]\n";
  }
  EXPECT_EQ(faults_in(operator_file_text(body), test_settings()),
            std::vector<std::string>{"f:2:4: anchors are not taken"});
}

}  // namespace
}  // namespace orchidgw::limits
