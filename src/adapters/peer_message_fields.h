#pragma once

// The fields of each peer message and of the types that messages contain, in one table for both directions.
// Field names are part of the protocol: processes of different versions must use the same ones.

#include "lovage/core/messages.h"

#include <cstdint>
#include <tuple>

namespace lovage {

/// How a field is encoded: by the type of its value, or as bytes, for a text that need not be UTF-8.
enum class field_form : std::uint8_t { value, bytes };

/// A field: its name in the encoding and the members that lead from its owner to its value.
template <field_form Form, class... Members>
struct message_field {
    static constexpr field_form form = Form;
    const char* name;
    std::tuple<Members...> path;
};

template <class... Members>
constexpr message_field<field_form::value, Members...> field(const char* name, Members... path) {
    return {name, {path...}};
}

template <class Member>
constexpr message_field<field_form::bytes, Member> bytes_field(const char* name, Member member) {
    return {name, {member}};
}

template <class Owner>
Owner& value_at(Owner& owner) {
    return owner;
}
template <class Owner, class First, class... Rest>
auto& value_at(Owner& owner, First first, Rest... rest) {
    return value_at(owner.*first, rest...);
}

constexpr auto fields_of(const attempt_ref& /*unused*/) {
    using owner = attempt_ref;
    return std::make_tuple(
        field("high", &owner::request, &request_id::high), field("low", &owner::request, &request_id::low),
        field("answer", &owner::answer, &answer_id::value), field("attempt", &owner::attempt));
}

constexpr auto fields_of(const request_id& /*unused*/) {
    using owner = request_id;
    return std::make_tuple(field("high", &owner::high), field("low", &owner::low));
}

constexpr auto fields_of(const generation_spec& /*unused*/) {
    using owner = generation_spec;
    return std::make_tuple(field("organisation", &owner::organisation), field("service", &owner::service),
                           field("model", &owner::model), field("model_version", &owner::model_version),
                           field("adapter", &owner::adapter), field("prompt", &owner::prompt),
                           field("max_tokens", &owner::max_tokens),
                           field("seed", &owner::sampling, &sampling::seed),
                           field("temperature", &owner::sampling, &sampling::temperature),
                           field("priority", &owner::priority), field("deadline", &owner::deadline));
}

constexpr auto fields_of(const loaded_version& /*unused*/) {
    using owner = loaded_version;
    return std::make_tuple(field("model", &owner::model), field("version", &owner::version),
                           field("adapter", &owner::adapter));
}

constexpr auto fields_of(const route_evidence& /*unused*/) {
    using owner = route_evidence;
    return std::make_tuple(
        field("model", &owner::model), field("version", &owner::version), field("route", &owner::route),
        field("requests", &owner::requests), field("failures", &owner::failures),
        field("slow_first_tokens", &owner::slow_first_tokens), field("slow_gaps", &owner::slow_gaps));
}

constexpr auto fields_of(const progress_message::item& /*unused*/) {
    using owner = progress_message::item;
    return std::make_tuple(field("ref", &owner::ref), field("next", &owner::next));
}

constexpr auto fields_of(const hello_message& /*unused*/) {
    using owner = hello_message;
    return std::make_tuple(field("protocol", &owner::protocol), field("node", &owner::node),
                           field("incarnation", &owner::incarnation), field("role", &owner::role),
                           field("zone", &owner::zone), field("region", &owner::region));
}

constexpr auto fields_of(const generate_message& /*unused*/) {
    using owner = generate_message;
    return std::make_tuple(field("ref", &owner::ref), field("spec", &owner::spec),
                           field("accepted", &owner::accepted));
}

constexpr auto fields_of(const tokens_message& /*unused*/) {
    using owner = tokens_message;
    return std::make_tuple(field("ref", &owner::ref), field("first", &owner::first),
                           field("tokens", &owner::tokens));
}

constexpr auto fields_of(const finished_message& /*unused*/) {
    using owner = finished_message;
    return std::make_tuple(field("ref", &owner::ref), field("total", &owner::total),
                           field("reason", &owner::reason));
}

constexpr auto fields_of(const failed_message& /*unused*/) {
    using owner = failed_message;
    return std::make_tuple(field("ref", &owner::ref), field("kind", &owner::kind),
                           field("detail", &owner::detail), field("not_run", &owner::not_run),
                           field("retry_after_ms", &owner::retry_after_ms));
}

constexpr auto fields_of(const cancel_message& /*unused*/) {
    using owner = cancel_message;
    return std::make_tuple(field("ref", &owner::ref));
}

constexpr auto fields_of(const progress_message& /*unused*/) {
    using owner = progress_message;
    return std::make_tuple(field("items", &owner::items));
}

constexpr auto fields_of(const adopt_message& /*unused*/) {
    using owner = adopt_message;
    return std::make_tuple(field("ref", &owner::ref), field("spec", &owner::spec),
                           field("tokens", &owner::tokens), field("finished", &owner::finished),
                           field("reason", &owner::reason));
}

constexpr auto fields_of(const adopt_reply_message& /*unused*/) {
    using owner = adopt_reply_message;
    return std::make_tuple(field("ref", &owner::ref), field("accepted", &owner::accepted));
}

constexpr auto fields_of(const attach_message& /*unused*/) {
    using owner = attach_message;
    return std::make_tuple(
        field("request", &owner::request), field("spec", &owner::spec), field("digest", &owner::digest),
        field("answer", &owner::answer, &answer_id::value), field("attempt", &owner::attempt),
        field("next", &owner::next), field("known", &owner::known));
}

constexpr auto fields_of(const attach_reply_message& /*unused*/) {
    using owner = attach_reply_message;
    return std::make_tuple(field("ref", &owner::ref), field("model_version", &owner::model_version),
                           field("next", &owner::next));
}

constexpr auto fields_of(const detach_message& /*unused*/) {
    using owner = detach_message;
    return std::make_tuple(field("request", &owner::request));
}

constexpr auto fields_of(const call_message& /*unused*/) {
    using owner = call_message;
    return std::make_tuple(field("request", &owner::request), field("organisation", &owner::organisation),
                           field("service", &owner::service), field("method", &owner::method),
                           field("path", &owner::path), field("content_type", &owner::content_type),
                           bytes_field("body", &owner::body), field("repeatable", &owner::repeatable),
                           field("bound_incarnation", &owner::bound_incarnation),
                           field("deadline", &owner::deadline));
}

constexpr auto fields_of(const call_result_message& /*unused*/) {
    using owner = call_result_message;
    return std::make_tuple(field("request", &owner::request), field("ok", &owner::ok),
                           field("status", &owner::status), field("content_type", &owner::content_type),
                           bytes_field("body", &owner::body), field("kind", &owner::kind),
                           field("detail", &owner::detail), field("not_run", &owner::not_run));
}

constexpr auto fields_of(const load_report_message& /*unused*/) {
    using owner = load_report_message;
    return std::make_tuple(
        field("target", &owner::target), field("services", &owner::services), field("loaded", &owner::loaded),
        field("slots", &owner::slots), field("running", &owner::running), field("queued", &owner::queued),
        field("age_ms", &owner::age_ms), field("engine_up", &owner::engine_up),
        field("draining", &owner::draining), field("highest_fencing", &owner::highest_fencing),
        field("tokens_total", &owner::tokens_total));
}

constexpr auto fields_of(const order_message& /*unused*/) {
    using owner = order_message;
    return std::make_tuple(field("order_id", &owner::order_id), field("fencing", &owner::fencing),
                           field("kind", &owner::kind), field("version", &owner::version),
                           field("role", &owner::role));
}

constexpr auto fields_of(const order_result_message& /*unused*/) {
    using owner = order_result_message;
    return std::make_tuple(field("order_id", &owner::order_id), field("ok", &owner::ok),
                           field("kind", &owner::kind), field("detail", &owner::detail));
}

constexpr auto fields_of(const goodbye_message& /*unused*/) {
    using owner = goodbye_message;
    return std::make_tuple(field("node", &owner::node));
}

constexpr auto fields_of(const evidence_message& /*unused*/) {
    using owner = evidence_message;
    return std::make_tuple(field("items", &owner::items));
}

/// Calls `visit` with each field of `owner` and the field's value, in the order of the table. The value is
/// constant if `owner` is.
template <class Owner, class Visit>
void visit_fields(Owner& owner, const Visit& visit) {
    const auto visit_one = [&](const auto& one) {
        std::apply([&](auto... path) { visit(one, value_at(owner, path...)); }, one.path);
    };
    std::apply([&](const auto&... each) { (visit_one(each), ...); }, fields_of(owner));
}

} // namespace lovage
