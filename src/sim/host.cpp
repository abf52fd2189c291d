#include "sim/host.h"

#include "config/settings_reader.h"

namespace orchidgw::sim {
namespace {

constexpr std::int64_t kNoteUnitsPerMs = 4096;  // WIRE: 4096 x milliseconds of work + memory in steps of 4 MB
constexpr double kNoteMemoryMb = 4;

}  // namespace

std::string Host::handle_line(const std::string& line) {
  ++line_number_;
  ReplyWriter reply;
  rapidjson::Document batch;
  batch.Parse(line.data(), line.size());
  const auto report_error = [&](const std::string& what) {
    errors_ << "line " << line_number_ << ": " << what << std::endl;
  };
  if (batch.HasParseError() || !batch.IsObject()) {
    report_error("not a JSON object");
    return reply.finish();
  }
  const auto time = batch.FindMember("simTime");
  const auto events = batch.FindMember("arrivals");
  if (time == batch.MemberEnd() || !time->value.IsInt64()) {
    report_error("field 'simTime': a whole number is needed");
    return reply.finish();
  }
  if (events == batch.MemberEnd() || !events->value.IsArray()) {
    report_error("field 'arrivals': a list is needed");
    return reply.finish();
  }
  int event_number = 0;
  for (const auto& message : events->value.GetArray()) {
    ++event_number;
    if (!message.IsArray() || message.Empty() || !message[0].IsString()) {
      report_error("event " + std::to_string(event_number) + ": a list that starts with a name is needed");
      continue;
    }
    try {
      handle_event(time->value.GetInt64(), message, reply);
    } catch (const WireError& e) {
      report_error("event " + std::to_string(event_number) + " (" + message[0].GetString() +
                   "): " + e.what());
    }
  }
  return reply.finish();
}

void Host::handle_event(TimeUs now, const rapidjson::Value& message, ReplyWriter& reply) {
  const EventReader fields(message);
  const std::string event_name = fields.text(0, "name");
  if (event_name == "REGISTER") {
    const auto number = fields.integer(1, "setId");
    if (number < 0 || number > 15) throw WireError("field 'setId': 0 to 15 is needed");
    engine_lists_[static_cast<size_t>(number)] = read_entries(fields.array(2, "membersList"));
    return;
  }
  const std::string name = fields.text(1, "i");
  reply.begin_instance(name);
  if (event_name == "UP") return start_instance(name, fields, reply);
  if (event_name == "DESTROY") {
    instances_.erase(name);
    return;
  }
  const auto it = instances_.find(name);
  if (it == instances_.end()) throw WireError("field 'i': unknown instance '" + name + "'");
  try {
    deliver(now, event_name, fields, it->second, reply);
  } catch (const WireError&) {
    throw;
  } catch (const std::exception& e) {
    // The reply reports a failed instance; the other instances in the batch continue.
    instances_.erase(it);
    reply.instance_failed(std::string("decision module: ") + e.what());
  }
}

void Host::start_instance(const std::string& name, const EventReader& fields, ReplyWriter& reply) {
  instances_.erase(name);
  const auto seed = static_cast<std::uint64_t>(fields.integer_or(2, "seed", 0));
  try {
    Settings settings = config::read_settings(fields.object(3, "env"));
    settings.limits.count_unsent_attempts = true;
    Instance instance;
    instance.module = make_workload_budget(settings, seed);
    instance.engines_report_cost = settings.engines_report_cost;
    for (size_t i = 0; i < settings.classes.size(); ++i)
      instance.classes[settings.classes[i].name] = static_cast<int>(i);
    instances_[name] = std::move(instance);
  } catch (const std::exception& e) {
    reply.instance_failed(std::string("settings: ") + e.what());
  }
}

void Host::deliver(TimeUs now, const std::string& event_name, const EventReader& fields, Instance& instance,
                   ReplyWriter& reply) {
  DecisionModule& module = *instance.module;
  if (event_name == "ROSTER_CHANGE") {
    const std::string mode = fields.text(2, "mode");
    if (mode == "Error") return module.on_engines(now, ListKind::kError, {}, reply);
    const auto number = fields.integer(4, "setId");
    if (number < 0 || number > 15 || !engine_lists_[static_cast<size_t>(number)])
      throw WireError("field 'setId': unknown list");
    ListKind kind = ListKind::kFull;
    if (mode == "Partial") {
      kind = ListKind::kDelta;
    } else if (mode == "Persisted") {
      kind = ListKind::kStored;
    } else if (mode != "Complete") {
      throw WireError("field 'mode': unknown word");
    }
    return module.on_engines(now, kind, *engine_lists_[static_cast<size_t>(number)], reply);
  }
  if (event_name == "WORK_ITEM") {
    Query query;
    query.id = fields.query(2, "req");
    query.tenant = fields.text_or_empty(3, "project");
    query.table_group = fields.integer_or(5, "sourceSet", 0);
    const std::string class_name = fields.text(6, "qos");
    const auto class_entry = instance.classes.find(class_name);
    if (class_entry == instance.classes.end())
      throw WireError("field 'qos': unknown class '" + class_name + "'");
    query.class_index = class_entry->second;
    query.is_retry = fields.flag_or(7, "isRetry", false);
    query.time_budget = fields.integer(8, "timeBudget");
    query.key = fields.text_or_empty(9, "object");
    query.memory_mb = fields.number_or(10, "wantMb", 0);
    query.cost_estimate = fields.integer_or(11, "cost", 0);
    return module.on_query(now, query, reply);
  }
  if (event_name == "DONE") {
    Outcome outcome;
    outcome.query = fields.query(2, "req");
    outcome.latency = fields.integer(3, "latency");
    outcome.engine = fields.text(4, "executor");
    outcome.ended = fields.flag_or(5, "terminal", false);
    const std::int64_t note = fields.integer_or(6, "note", 0);
    outcome.kind = read_outcome_kind(fields.integer(7, "verdict"));
    outcome.attempt = static_cast<int>(fields.integer(8, "attempt"));
    outcome.report = fields.report(9, "report");
    if (instance.engines_report_cost && outcome.kind == OutcomeKind::kOk && note > 0) {
      outcome.reported_cost = note / kNoteUnitsPerMs * 1000;
      outcome.reported_memory_mb = static_cast<double>(note % kNoteUnitsPerMs) * kNoteMemoryMb;
    }
    return module.on_outcome(now, outcome, reply);
  }
  if (event_name == "PROGRESS") {
    Note note;
    note.query = fields.query(2, "req");
    note.value = fields.number_or(3, "level", 0);
    note.engine = fields.text(4, "executor");
    note.attempt = static_cast<int>(fields.integer(5, "attempt"));
    const auto kind = fields.integer(6, "kind");
    if (kind < 1 || kind > 3) throw WireError("field 'kind': 1 to 3 is needed");
    note.kind = static_cast<NoteKind>(kind - 1);
    return module.on_note(now, note, reply);
  }
  if (event_name == "HANGUP") return module.on_client_gone(now, fields.query(2, "req"), reply);
  if (event_name == "WAKEUP")
    return module.on_timer(now, static_cast<std::uint64_t>(fields.integer(2, "mark")), reply);
  if (event_name == "NOTE_FROM")
    return module.on_peer(now, static_cast<int>(fields.integer(2, "originPeer")),
                          from_base64(fields.text(3, "bytes")), reply);
  if (event_name == "CHECKED")
    return module.on_probe(now, fields.text(2, "executor"), fields.integer(3, "verdict") == 0,
                           fields.report(5, "report"), reply);
  if (event_name == "HEADERS")
    return module.on_stream_started(now, fields.query(2, "req"), fields.text(3, "executor"), reply);
  throw WireError("unknown event");
}

}  // namespace orchidgw::sim
