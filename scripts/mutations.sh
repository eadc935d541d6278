#!/usr/bin/env bash
# Breaks the decisions on purpose, one line at a time in a copy of the sources, and checks that a test notices.
# Usage: scripts/mutations.sh [TEXT]   Prints a line a mutation; exit code 1 if one survives. With TEXT, only mutations
# whose test, file or description matches it as a regular expression.
set -uo pipefail
cd "$(dirname "$0")/.."
copy="$(mktemp -d)"
trap 'rm -rf "$copy"' EXIT
git ls-files | tar cf - -T - | tar xf - -C "$copy"
cmake -G Ninja -S "$copy" -B "$copy/build" >/dev/null || exit 1
survivors=0
filter="${1:-}"

mutate() {  # mutate TEST FILE SED WHAT
  local test="$1" file="$copy/$2" expression="$3" what="$4"
  [[ "$test $2 $what" =~ $filter ]] || return 0
  cp "$file" "$file.kept"
  sed -i "$expression" "$file"
  if cmp -s "$file" "$file.kept"; then
    echo "STALE    | $what | the line is gone"; survivors=$((survivors + 1))
  elif ! cmake --build "$copy/build" --target "$test" >/dev/null 2>&1; then
    echo "BUILD    | $what | does not compile"; survivors=$((survivors + 1))
  elif (cd "$copy" && timeout 120 "build/$test" >/dev/null 2>&1); then
    echo "SURVIVED | $what"; survivors=$((survivors + 1))
  else
    echo "caught   | $what"
  fi
  cp "$file.kept" "$file"
}

mutate test_gateway packages/gateway/src/request_flow_retry.cpp \
  's/if (this->run_verdict != verdict::did_not_run \&\& !this->idempotent)/if (false)/' "an unsafe request is repeated after it may have run"
mutate test_gateway packages/gateway/src/attempt_result.cpp \
  's/  if (impl::is_not_run_status(response.status)) {/  if (false) {/' "a refusal that promises nothing is passed on"
mutate test_gateway packages/gateway/src/attempt_result.cpp \
  's/!find_field(response.fields, field_names.response_stamp) ||/false ||/' "a success without a stamp is passed on"
mutate test_gateway packages/gateway/src/request_flow.cpp \
  's/this->exchange->abort();/this->exchange->finish();/' "a cut answer is ended as if it were whole"
mutate test_gateway packages/gateway/src/request_flow_retry.cpp \
  's/  return this->sent_count < this->max_attempts/  return this->sent_count < 1/' "nothing is ever repeated"
mutate test_gateway packages/gateway/src/request_flow_forwarding.cpp \
  's/if (!this->forwarded \&\& attempts_left/if (attempts_left/' "a forwarded request is forwarded again"
mutate test_gateway packages/gateway/src/request_flow_forwarding.cpp \
  's/  if (may_have_run \&\& !this->idempotent) {/  if (false) {/' "an unsafe request at a server is handed to a peer"
mutate test_gateway packages/gateway/src/request_flow_forwarding.cpp \
  's/const int attempts_left = .*/const int attempts_left = this->max_attempts;/' "a peer may send as often as if nothing had been sent"
mutate test_gateway packages/gateway/src/request_flow_forwarding.cpp \
  's/attempts_left, this->reached_backends, this->identity});/attempts_left, {}, this->identity});/' "a peer does not hear which servers were tried"
mutate test_gateway packages/gateway/src/request_flow_forwarding.cpp \
  's/end_to_end_fields(this->response.fields, hop_field_names())/end_to_end_fields(this->response.fields, {})/' "callers get the fields between nodes"
mutate test_gateway packages/gateway/src/request_flow_account.cpp \
  's/auto replaced = hop_field_names();/std::vector<std::string_view> replaced;/' "servers get the fields between nodes"
mutate test_gateway packages/gateway/src/request_flow.cpp \
  's/  if (!this->forwarded) {/  if (true) {/' "a forwarded request earns retries at both nodes"
mutate test_gateway packages/gateway/src/request_flow.cpp \
  's/this->matched_route, this->exchange->started_at());/this->matched_route, this->exchange->received_at());/' "the time in which a forwarded body comes in does not count"
mutate test_gateway packages/gateway/src/peer_result.cpp \
  's/result.can_try_other_peer = end.outcome == verdict::did_not_run;/result.can_try_other_peer = true;/' "a request is handed on after a peer broke the connection"
mutate test_gateway packages/gateway/src/peer_result.cpp \
  's/result.can_forward = attempt.can_forward;/result.can_forward = true;/' "a peer's success without a stamp is passed on"
mutate test_gateway packages/gateway/src/hop_fields.cpp \
  's/ || result.sent_count > 0) {/) {/' "a request that a peer has sent goes to another peer"
mutate test_gateway packages/gateway/src/gateway_forwarding.cpp \
  's/this->forwarded_in_flight >= max_forwarded_requests/false/' "a peer takes any number of requests"
mutate test_gateway packages/gateway/src/gateway_forwarding.cpp \
  's/this->current_snapshot->version < forwarded->version/false/' "a peer serves by an older configuration"
mutate test_routing packages/routing/src/peer_choice.cpp \
  's/in_allowed_region \&\& !was_tried/!was_tried/' "a request leaves its allowed regions"
mutate test_routing packages/routing/src/peer_choice.cpp \
  's/if (near.size() < min_spread) {/if (near.empty()) {/' "one near peer gets all requests"
mutate test_routing packages/routing/src/peer_choice.cpp \
  's/return is_less_loaded(\*b, \*a, now) ? \&b->peer : \&a->peer;/return \&a->peer;/' "a slow peer gets as many requests"
mutate test_routing packages/routing/src/peer_choice.cpp \
  's/ \&\& !is_excluded;/;/' "a peer that cannot be reached is chosen again"
mutate test_http packages/http/src/backend_connection.cpp \
  's/ : \*id != this->current.id);/ : false);/' "another request's answer is taken"
mutate test_http packages/http/src/backend_connection.cpp \
  's/this->input.empty() \&\& !this->parser/!this->parser/' "a connection with leftover bytes is kept"
mutate test_http packages/http/src/caller_connection.cpp \
  's/is_last \&\& (this->draining/false \&\& (this->draining/' "a drained connection is not closed"
mutate test_gateway packages/http/src/backend_connection.cpp \
  's/this->input.size() > impl::max_unparsed_bytes/false/' "a chunk extension without end is kept in memory"
mutate test_gateway packages/http/src/backend_connection.cpp \
  's/++this->skipped_responses > impl::max_skipped_responses/false/' "interim responses are read without end"
mutate test_gateway packages/gateway/src/request_flow.cpp \
  's/    if (!attempt.can_forward) {/    if (false) {/' "a body that is of no use is read without end"
mutate test_store packages/store/src/object_feed.cpp \
  's/cached.version >= object.version/false/' "an object goes back to an older version"
mutate test_store packages/store/src/object_feed.cpp \
  's/found->second.version > removal_version/false/' "a stale list removes a newer object"
mutate test_routing packages/routing/src/snapshot_builder.cpp \
  's/declaration.version <= this->state.version/false/' "an older configuration comes into force"
mutate test_routing packages/routing/src/backend_table.cpp \
  's/declared.mode != backend_mode::ready ||/false ||/' "a draining server gets requests"
mutate test_routing packages/routing/src/backend_table.cpp \
  's/this->evacuated.contains(declared.domain)/false/' "an emptied failure domain gets requests"
mutate test_routing packages/routing/src/backend_table.cpp \
  's/return backend.is_warmed_by_this_node \&\&/return true \&\&/' "every node warms a cold server"
mutate test_routing packages/routing/src/backend_table.cpp \
  's/utilisation < impl::max_spillover_utilisation/true/' "objects leave their homes under overload"
mutate test_gateway packages/routing/src/backend_table.cpp \
  's/ || !backend.within_rate_limit(now)) {/) {/' "a server's rate limit is ignored"
mutate test_gateway packages/routing/src/rate_limit_share.cpp \
  's/near_fraction \/ impl::count_large_shares(limit, standing)/near_fraction/' "each node uses the whole rate limit"
mutate test_gateway packages/routing/src/backend_table.cpp \
  's/ || backend.is_leaving() || / || /' "a server that says it is leaving gets requests"
mutate test_gateway packages/routing/src/backend_table.cpp \
  's/!backend.admits_after_busy(now) || //' "a server that says it is busy gets requests"
mutate test_routing packages/routing/include/zinnia/routing/backend_state.hpp \
  's/(!this->returns_from_busy || this->own_in_flight == 0)/true/' "all requests return to a busy server at once"
mutate test_routing packages/routing/src/backend_table.cpp \
  's/        backend->set_leaving();//' "a server that has left is used again when its entry returns"
mutate test_routing packages/routing/src/rate_limit_share.cpp \
  's/since_begin_ms < impl::small_share_window_ms ? at/true ? at/' "many small shares are used at once"
mutate test_routing packages/routing/src/rate_limit_share.cpp \
  's/now - this->last_named_at >= impl::min_limit_age/true/' "a late response ends a limit"
mutate test_routing packages/routing/src/backend_state.cpp \
  's/this->rate_share.reset();//' "a server that starts again keeps its old limit"
mutate test_routing packages/routing/src/backend_state.cpp \
  's/recent) + 1 <= rate/recent) <= rate + 5/' "a cold server gets more than its rate"
mutate test_node packages/node/src/stop_schedule.hpp \
  's/    return std::min(most, duration.*/    return most;/' "a short limit leaves a stopping node no time to answer"
mutate test_node packages/node/src/stop_schedule.hpp \
  's/this->answer_by() - longest_timeout/this->answer_by()/' "a stopping node reads what it has no time for"
mutate test_gateway packages/gateway/src/gateway_stop.cpp \
  's/    flow->answer_before_stop(answer_by_in);//' "a stopping node cuts off the requests that wait in it"
mutate test_gateway packages/gateway/src/gateway_stop.cpp \
  's/  if (this->idempotent || !this->is_cut_short_by_stop()) {/  if (true) {/' "a stopping node sends what may run only once and last longer"
mutate test_routing packages/routing/src/retry_limiter.cpp \
  's/  if (this->earned + shared_tokens < 1) {/  if (false) {/' "retries have no bound"
mutate test_routing packages/routing/src/retry_limiter.cpp \
  's/earned_fraction = 0.55/earned_fraction = 0.85/; s/static_assert(earned_fraction.*//' "requests pay twice when nodes restart or callers move"
mutate test_routing packages/routing/src/retry_limiter.cpp \
  's/return std::min(this->earned,/return std::max(this->earned,/' "tokens are saved without a bound"
mutate test_routing packages/routing/src/retry_limiter.cpp \
  's/return std::clamp(this->shared + rate \* windows, 0.0, share)/return share/' "a process starts with all of its share"
mutate test_routing packages/routing/src/retry_limiter.cpp \
  's/std::min(share, this->latest_share)/share/' "a node that counts few others for a moment takes a large share at once"
mutate test_routing packages/routing/src/region_shares.cpp \
  's/std::min(own_slots \/ own_need, 1.0)/1.0/' "a small region keeps all its objects"
mutate test_routing packages/routing/src/backend_table_candidates.cpp \
  's/  return !homes.has_holder \&\& is_first_home/  return is_first_home/' "the first home counts as the holder"
mutate test_routing packages/routing/src/backend_table_candidates.cpp \
  's/is_first_load ? 0 : evaluated.distance_ms/evaluated.distance_ms/' "nodes of different domains load an object at different servers"
mutate test_routing packages/routing/src/backend_table_candidates.cpp \
  's/const bool is_in_region = .*/const bool is_in_region = true;/' "objects sent to another region come back"
mutate test_routing packages/routing/src/backend_table_learning.cpp \
  's/backend.on_peer_load(now + notice.loads_for, now);//' "other nodes' loads are not seen"
mutate test_routing packages/routing/src/backend_table_learning.cpp \
  's/      target.objects.erase(\*attempt.object);//' "an object that was not loaded counts as held"
mutate test_routing packages/routing/src/copy_ledger.cpp \
  's/  paid += cost_ms;//' "requests never pay for a copy"
mutate test_routing packages/routing/src/work_estimate.cpp \
  's/count >= impl::min_typical_samples/count >= 0/' "a slow route makes servers look slow"
mutate test_node packages/node/src/notice_exchange.cpp \
  's/is_load ? impl::load_notice_delay : impl::confirmation_delay/impl::confirmation_delay/' "loads are told late"
mutate test_membership packages/membership/src/member_table.cpp \
  's/    addresses.emplace(id, ip_endpoint/    if (entry.heartbeat_received) addresses.emplace(id, ip_endpoint/' "only nodes whose heartbeats arrive are told of crashes"
mutate test_gateway packages/gateway/src/request_flow_retry.cpp \
  's/  if (!this->owner.is_crash_undecided(.*/  if (true) {/' "a retry does not wait until it is known if the server has crashed"
mutate test_routing packages/routing/src/backend_table.cpp \
  's/{alive.size(), registered_serving, 1}/{alive.size(), 0, 1}/' "each region takes the rest of a rate limit for itself"
mutate test_membership packages/membership/src/member_table.cpp \
  's/now - entry.last_heartbeat_at < heartbeat_timeout;/true;/' "silent nodes are named to callers"
mutate test_node packages/node/src/control_thread_watches.cpp \
  's/ || !this->watches.front().feed.is_failing()/ || true/' "every kind probes a lost store"
mutate test_http packages/http/src/caller_connection_timeouts.cpp \
  's/const bool is_delivered = .*/const bool is_delivered = true;/' "a closing response to a slow caller is cut"
mutate test_http packages/http/src/caller_connection_timeouts.cpp \
  's/ \&\& now > this->caller_deadline;/;/' "a caller that pauses reading is reset before its deadline"
mutate test_http packages/http/src/caller_connection.cpp \
  's/  if (this->phase == connection_phase::open || this->refused_early) {/  if (true) {/' "a caller that sends keeps a finished connection open"
mutate test_gateway packages/http/src/caller_exchange.cpp \
  's/earlier->may_break \&\& !earlier->finished/false/' "a request is passed on behind a download that may break off"
mutate test_http packages/http/src/message.cpp \
  's/  return codings > 1 || !is_chunked;/  return codings > 1;/' "a message with an unknown transfer coding hides another"
mutate test_gateway packages/gateway/src/request_flow.cpp \
  's/this->matched_route, this->exchange->started_at());/this->matched_route, this->arrived_at);/' "a slow body lengthens the deadline"
mutate test_gateway packages/gateway/src/request_flow_end.cpp \
  's/  if (this->has_active_call() \&\& !this->connection->is_connecting()) {/  if (false) {/' "a request whose caller left counts as not run"
mutate test_http packages/http/src/caller_connection_stop.cpp \
  's/  if (!this->has_partial_request() || .*/  if (true) {/' "a stop cuts off half-sent requests"
mutate test_http packages/http/src/caller_connection_stop.cpp \
  's/  return this->draining \&\& !this->pending.empty() .*/  return !this->pending.empty() \&\&/' "a stop cuts off a request behind a response that has begun"
mutate test_http packages/http/src/caller_connection_stop.cpp \
  's/  this->refused_early = true;//' "a stop resets callers that are still sending what was refused"
mutate test_http packages/http/src/memory_budget.cpp \
  's/is_large || share == memory_share::common/share == memory_share::common/' "large requests take the memory kept for small ones"
mutate test_http packages/http/src/memory_budget.cpp \
  's/is_large || share == memory_share::common/is_large/' "later requests of a connection take the memory kept for first ones"
mutate test_http packages/http/src/memory_budget.cpp \
  's/ || this->clock.now() - oldest->progressed_at < max_stall) {/) {/' "a request that makes progress is refused for a newer one"
mutate test_http packages/http/src/memory_budget.cpp \
  's/  holder.progressed_at = this->clock.now();//' "memory is freed by who came first, not by who makes no progress"
mutate test_http packages/http/src/memory_budget.cpp \
  's/  while (this->used_bytes > hard_limit \&\&/  while (false \&\&/' "unread responses exceed the memory"
mutate test_http packages/http/src/connection_eviction.cpp \
  's/    if (standing < connection_standing::in_service) {/    if (true) {/;s/          evicted->standing() < connection_standing::in_service) {/          true) {/' "a request in service is cut off for a new connection"
mutate test_http packages/http/include/zinnia/http/connection_quota.hpp \
  's/std::max(share.open, share.reserved)/share.open/' "one listener takes the descriptors of the others"
mutate test_http packages/http/src/caller_connection.cpp \
  's/    if (this->parser->is_body_lost()) {/    if (false) {/' "a body that was not kept whole is passed on"
mutate test_gateway packages/gateway/src/gateway_stop.cpp \
  's/  if (deadline <= this->clock.now()) {/  if (false) {/' "a body may arrive for as long as its caller likes"
mutate test_observe packages/observe/src/recent_records.cpp \
  's/ || this->bytes > this->max_records \* bytes_per_record//' "long request ids fill the memory"
mutate test_http packages/http/src/http_listener.cpp \
  's/^  this->accept_backlog();//' "a stop resets connections that it has not accepted"
mutate test_http packages/http/src/caller_connection_stop.cpp \
  's/  if (this->awaits_first_request()) {/  if (false) {/' "a stop closes a connection whose first request is on its way"
mutate test_http packages/http/src/caller_connection_timeouts.cpp \
  's/  const bool is_leftover = .*/  const bool is_leftover = false;/' "a connection that brings no request holds up a stop"
mutate test_gateway packages/gateway/src/hop_fields.cpp \
  's/  return own == reason::node_stopping ? .*/  return own;/' "older nodes cannot parse why a stopping peer refuses"
mutate test_gateway packages/gateway/src/gateway_stop.cpp \
  's/ \&\& deadline > \*this->answer_by) {/ \&\& false) {/' "a stopping node lets callers send bodies that it refuses"
mutate test_http packages/http/src/caller_connection_timeouts.cpp \
  's/return this->write_active || unacknowledged_bytes.*/return false;/' "a stop does not wait for responses being read"
mutate test_gateway packages/http/src/backend_connection.cpp \
  's/  if (!id \&\& this->responses_name_requests \&\& !this->current.id.empty() .*/  if (false) {/' "a response without an id on a kept connection is believed"
mutate test_gateway packages/http/src/backend_connection.cpp \
  's/  return !id.empty() \&\& std::find(/  return false \&\& std::find(/' "an id is sent twice on one connection"
mutate test_gateway packages/gateway/src/request_flow_end.cpp \
  's/    this->owner.on_request_given_up(.*/    ;/' "requests given up at a server that has crashed do not count"
mutate test_gateway packages/gateway/src/request_flow_end.cpp \
  's/this->committed \&\& this->exchange->has_unsent_output()/false/' "a response is cut at the timeout while its caller reads"
mutate test_gateway packages/gateway/src/gateway.cpp \
  's/    pool->set_endpoint(address);//' "requests go to a server's old address"
mutate test_gateway packages/gateway/src/gateway.cpp \
  's/^  if (problem) {/  if (false) {/' "an unreadable address is used as 0.0.0.0"
mutate test_routing packages/routing/src/backend_table_candidates.cpp \
  's/std::max(learned_slowness, impl::assumed_cold_slowness)/learned_slowness * impl::assumed_cold_slowness/' "the slowness of a cold server counts twice"
mutate test_routing packages/routing/src/backend_table.cpp \
  's/    this->regions_by_domain = \*snapshot.regions;//' "a new failure domain stays unknown to placement"
mutate test_routing packages/routing/src/snapshot_builder.cpp \
  's/    this->pending_removals.erase(backend.id);//' "a server that the tree declares is removed"
mutate test_routing packages/routing/src/shift_plan.cpp \
  's/  if (shift.kind == shift_kind::drain_domain) {/  if (false) {/' "a domain drain follows another place's ramp"
mutate test_node packages/node/src/control_thread_registration.cpp \
  's/      this->removal_sent = false;//' "a failed removal of the own entry is not repeated"
mutate test_gateway packages/gateway/src/request_flow_end.cpp \
  's/  if (left <= duration{0}) {/  if (true) {/' "a quarantined request is sent"
mutate test_gateway packages/gateway/src/request_flow_end.cpp \
  's/    this->respond_unavailable(reason::request_quarantined, left);/    this->fail(impl::status_bad_gateway, reason::request_quarantined);/' "a quarantined request that did not run is said to have run"
mutate test_gateway packages/gateway/src/request_flow.cpp \
  's/    this->owner.on_request_lost(\*target,.*/    ;/' "a lost request is never suspected"
mutate test_gateway packages/gateway/src/gateway.cpp \
  's/    this->options.send_crash_reports(reports);/    ;/' "other nodes are not told of crashes"
mutate test_gateway packages/gateway/src/gateway.cpp \
  's/    this->options.repeat_crash_reports(repeated);/    ;/' "a node that starts is not told of quarantines"
mutate test_gateway packages/gateway/src/gateway.cpp \
  's/  this->crashes.set_longest_term(placement_settings{}.*//' "reports before the first configuration are lost"
mutate test_gateway packages/gateway/src/health_check.cpp \
  's/  } else if (end.complete) {/  } else if (false) {/' "a server that answers its check stays under suspicion"
mutate test_gateway packages/http/src/backend_connection.cpp \
  's/ec == boost::asio::error::connection_refused/false/' "a refused connection does not show a crash"
mutate test_gateway packages/gateway/src/request_fingerprint.cpp \
  's/absl::Hex(stable_hash(body), /absl::Hex(0, /' "requests with other bodies are the same"
mutate test_routing packages/routing/src/link_monitor.cpp \
  's/max_more_rounds = 3;/max_more_rounds = 0;/' "three crashed servers are taken for lost links"
mutate test_gateway packages/gateway/include/zinnia/gateway/gateway.hpp \
  's/return this->is_list_complete ? /return true ? /' "a node that does not know the others takes the whole retry budget"
mutate test_routing packages/routing/src/crash_ledger.cpp \
  's/crashed_several_again ? quarantine_level/false ? quarantine_level/' "bursts of crashes count once however late"
mutate test_routing packages/routing/src/crash_ledger.cpp \
  's/at - known_since >= impl::separate_crashes/true/' "servers that crash together quarantine their requests at the next crash"
mutate test_routing packages/routing/src/crash_ledger.cpp \
  's/      this->hold(backend, lost, now);/      ;/' "requests lost with the links are forgotten"
mutate test_routing packages/routing/src/crash_ledger.cpp \
  's/    if (known.crashes < known_crash->most_crashes) {/    if (false) {/' "bystanders of a crash are raised"
mutate test_routing packages/routing/src/crash_ledger.cpp \
  's/      this->lower_bystanders(crashed.backend, known.crashes);//' "bystanders stay raised when the crash is explained"
mutate test_routing packages/routing/src/crash_ledger.cpp \
  's/  const int level_before = .*/  const int level_before = this->level(lost.request, this->longest_term, now);/' "servers that crash together count one after the other"
mutate test_routing packages/routing/src/crash_ledger.cpp \
  's/  if (this->clear(request, now)) {/  if (false) {/' "an answer clears nothing"
mutate test_routing packages/routing/src/crash_ledger_reports.cpp \
  's/    this->object(report.request, now);/    ;/' "a node that knows of an answer does not object"
mutate test_routing packages/routing/src/crash_ledger.cpp \
  's/  return age < term \* 2 \&\& known.level >= quarantine_level ? quarantine_level - 1 : 0;/  return 0;/' "a quarantine that has ended is forgotten at once"
mutate test_routing packages/routing/src/crash_ledger.cpp \
  's/  if (age < term) {/  if (true) {/' "a quarantine never ends"
mutate test_routing packages/routing/src/crash_ledger.cpp \
  's/  if (this->records.size() >= max_requests) {/  if (false) {/' "remembered requests are not bounded"
mutate test_routing packages/routing/src/crash_ledger.cpp \
  's/  if (waiting.size() < impl::max_lost_per_backend) {/  if (true) {/' "lost requests of a server are not bounded"
mutate test_node packages/node/src/notice_exchange.cpp \
  's/this->report_peers\[this->repeated_to++ % this->report_peers.size()\]/this->report_peers[i]/' "reports are repeated to the same nodes always"
mutate test_node packages/node/src/quarantine_store.cpp \
  's/  if (is_pending \&\& ++written.attempts < impl::max_attempts) {/  if (false) {/' "a quarantine that could not be stored is given up"
mutate test_node packages/node/src/quarantine_store.cpp \
  's/    } else if (report->age < impl::max_age) {/    } else if (true) {/' "quarantines are read from the store for ever"
mutate test_platform platform/src/response_text.cpp \
  's/replace_unreadable_values(valid)/valid/' "one number beyond a double hides all objects of a list"
mutate test_platform platform/src/object_api.cpp \
  's/    reply.status = \*era > era_of(call.since_version) ? feed_status::history_gone : feed_status::failed;/    ;/' "changes of another era are taken"
mutate test_node platform/src/object_api.cpp \
  's/  return era \&\& \*era <= max_era ? era : std::nullopt;/  return 0;/' "revisions of different eras are compared"
mutate test_node packages/node/src/control_thread_restore.cpp \
  's/  if (is_from_copy \&\& watched.undoes/  if (false \&\& watched.undoes/' "a copy of the store undoes what is in force"
mutate test_node packages/node/src/control_thread_restore.cpp \
  's/    for (const auto\& name : watched.guard.take_due(now)) {/    for (const auto\& name : std::set<std::string>{}) {/' "what a copy undoes is held for ever"
mutate test_node packages/node/src/control_thread_restore.cpp \
  's/^  this->list_kinds_of_earlier_eras.*//' "a watch of an earlier era waits for changes that it never gets"
mutate test_node packages/node/src/control_thread.cpp \
  's/ \&\& this->state_exchange->is_done(now) / /' "a node that starts at an old copy does not wait for its peers"
mutate test_node packages/node/src/control_thread_state.cpp \
  's/^    this->apply_configuration(.*/    ;/' "a node does not take a newer configuration from its peers"
mutate test_node packages/node/src/control_thread_state.cpp \
  's/    this->remove_backend(change.object, duration{0});/    ;/' "a server that left before the copy comes back at a node that starts"
mutate test_node packages/node/src/control_thread_restore.cpp \
  's/impl::server_rewrite_time : impl::drain_time/impl::server_rewrite_time : impl::server_rewrite_time/' "a drain that the copy lacks ends after some seconds"
mutate test_node packages/node/src/control_thread_changes.cpp \
  's/^    if (decoded) {$/    {/' "a server whose entry cannot be read is removed"
mutate test_node packages/node/src/control_thread_state.cpp \
  's/^    this->release_rewritten_objects(.*//' "a node that notices a restore late undoes what was written since"
mutate test_node packages/node/src/control_thread_state.cpp \
  's/const auto own_era = era_of(this->oldest_known_version());/const auto own_era = their_era;/' "a peer that has not read all kinds counts as an answer"
mutate test_node packages/node/src/control_thread_restore.cpp \
  's/  if (removed != this->removed_backends.end()) {/  if (false) {/' "a copy brings back a server that was just removed"
mutate test_membership packages/membership/src/peer_state_sync.cpp \
  's/    this->waits_for_peers = true;//' "a start does not wait for peers that have not noticed the restore"
mutate test_membership packages/membership/src/peer_state_sync.cpp \
  's/  if (is_behind || is_new_digest) {/  if (is_new_digest) {/' "a newer configuration of a peer is not asked for"
mutate test_membership packages/membership/src/peer_state_sync.cpp \
  's/    this->known_digests.push_back(digest);//' "retained changes are asked for again and again"
mutate test_store packages/store/src/restore_guard.cpp \
  's/is_known ? std::min(this->copy_version, version) : version/version/' "the latest view of the copy counts"
mutate test_store packages/store/src/object_feed.cpp \
  's/(this->listing \&\& is_other_era)/false/' "pages of different eras make one list"
mutate test_store packages/store/src/object_feed.cpp \
  's/change.object.version > this->watch_version/true/' "relay: an update that a feed has had brings back a removed object"
mutate test_store packages/store/src/object_feed.cpp \
  's/this->listing || this->holds_newer_objects ||/this->listing ||/' "relay: a feed that is ahead of its version follows"
mutate test_store packages/store/src/change_log.cpp \
  's/ || is_beyond_lost_changes//' "relay: a peer that knew more of the last era is told of changes only"
mutate test_store packages/store/src/change_log.cpp \
  's/std::max(this->end_version, change.object.version), now/this->end_version, now/' "relay: a later page of a list is passed over"
mutate test_store packages/store/src/change_log.cpp \
  's/if (named\[i\] != known\[i\])/if (false)/' "relay: a late reply is applied"
mutate test_routing packages/routing/src/crash_ledger_reports.cpp \
  's/} else if (known.released) {/} else if (false) {/' "a released request stays quarantined in a restored store"
mutate test_gateway packages/gateway/src/gateway.cpp \
  's/writer->first == this->options.self/true/' "all nodes write a quarantine to a restored store"
mutate test_routing packages/routing/src/backend_restriction.cpp \
  's/    if (backend->is_leaving()) {/    if (false) {/' "operators do not see that a server is leaving"
mutate test_routing packages/routing/src/backend_restriction.cpp \
  's/if (this->evacuated.contains(declared.domain)) {/if (!this->evacuated.empty()) {/' "operators see an evacuation at servers of other domains"
mutate test_zinniactl apps/zinniactl/server_report.cpp \
  's/      report.missing.push_back(answer);//' "a node that does not answer is not named"
mutate test_store packages/store/src/change_relay_codec.cpp \
  's/      if (needed > message_bytes) {/      if (false) {/; s/  return needed <= message_bytes;/  return true;/' "relayed changes grow with how often they refer to the same bytes"
mutate test_platform platform/src/response_text.cpp \
  's/  if (nesting_of(text) <= max_nesting) {/  if (true) {/' "an object that nests without end ends the process"
mutate test_platform platform/src/document_fields.hpp \
  's/  if (!is_list_of_names) {/  if (false) {/' "regions that cannot be read allow every region"
mutate test_zinniactl apps/zinniactl/commands.cpp \
  's/  } else if (this->options.expected_version != object.version.count()) {/  } else if (false) {/' "settings that cannot be read are overwritten"
mutate test_routing packages/routing/src/link_monitor.cpp \
  's/  return is_unanswered \&\& !this->failed.contains(backend) \&\&/  return false \&\&/' "silent servers raise no suspicion"
mutate test_routing packages/routing/src/link_monitor.cpp \
  's/    silent += this->is_silent(.*/    ;/;s/  bool one_is_long_silent = .*/  bool one_is_long_silent = false;/' "one server that fails is never checked"
mutate test_routing packages/routing/src/link_monitor.cpp \
  's/this->unconnected.size() >= impl::several ||/false ||/' "links that are half open are not suspected"
mutate test_routing packages/routing/src/link_monitor.cpp \
  's/  if (settles \&\& started_at >= this->round_started_at) {/  if (false) {/' "an answered check does not end a suspicion"
mutate test_routing packages/routing/src/link_monitor.cpp \
  's/    this->flaps = is_flapping .*/    this->flaps = 0;/' "links that come and go are used each time"
mutate test_routing packages/routing/src/link_monitor.cpp \
  's/(this->current >= link_condition::half_open \&\& now >= this->next_round_at)/this->current >= link_condition::half_open/' "lost links are checked without a pause"
mutate test_membership packages/membership/src/member_table.cpp \
  's/    if (any_reaches \&\& !node.reaches_backends) {/    if (false) {/' "nodes without links are advertised"
mutate test_membership packages/membership/src/member_table.cpp \
  's/    if (any_reaches \&\& !node.reaches_backends) {/    if (!node.reaches_backends) {/' "nobody is advertised while the servers are down"
mutate test_membership packages/membership/src/heartbeat_codec.cpp \
  's/!heartbeat.reaches_backends/false/' "heartbeats do not tell of lost links"
mutate test_gateway packages/gateway/src/request_flow.cpp \
  's/  if (this->owner.links.is_lost(now)) {/  if (false) {/' "requests are tried on lost links"
mutate test_gateway packages/gateway/src/gateway_forwarding.cpp \
  's/    flow->leave_lost_links();/    ;/' "calls in flight wait on lost links"
mutate test_gateway packages/gateway/src/gateway_links.cpp \
  's/    backend->forgive_failures(.*/    ;/' "servers are blamed for lost links"
mutate test_gateway packages/gateway/src/gateway_links.cpp \
  's/  if (!has_requests || !others_can_be_asked) {/  if (true) {/' "a refused connection is a crash whatever the links"
mutate test_gateway packages/gateway/src/gateway_links.cpp \
  's/  this->crashes.on_links_lost();/  ;/;s/  this->refusals.clear();/  ;/' "lost links leave requests suspected"
mutate test_gateway packages/gateway/src/gateway_links.cpp \
  's/  if (others_can_be_asked \&\& this->has_open_connection(backend)) {/  if (false) {/' "a blocked new connection suspends a server"
mutate test_routing packages/routing/src/recovery_pace.cpp \
  's/  this->reduction_allowed_at = now + took;/  ;/' "each failure of a round halves a recovering server's limit"
mutate test_routing packages/routing/src/recovery_pace.cpp \
  's/  this->threshold = this->current_limit;/  ;/' "a recovering server returns at once to the rate that failed"
mutate test_routing packages/routing/src/backend_recovery.cpp \
  's/    return {0};/    ;/;s/  return {std::min(nodes.*/  return {0};/' "all nodes return to a server at the same moment"
mutate test_routing packages/routing/src/backend_table_learning.cpp \
  's/slowness \/ std::max(mean, 1.0)/slowness/' "a recovering server is held back while all servers are slow"
mutate test_routing packages/routing/src/backend_table_lookup.cpp \
  's/bound \/ impl::max_warming_nodes - 1/bound/' "two nodes exceed the bound of a cold server"
mutate test_gateway packages/gateway/src/statement_decoding.cpp \
  's/i < std::min(parts.size(), counts.size())/i < counts.size() \&\& parts.size() == counts.size()/' "a load with more or fewer figures is dropped"
mutate test_accounts packages/accounts/src/configuration_confirmation.cpp \
  's/  if (this->in_force < this->confirmed ||/  if (/' "a node proves a configuration that it does not have"
mutate test_accounts packages/accounts/src/configuration_confirmation.cpp \
  's/  if (version < std::max(this->confirmed, this->announced)) {/  if (false) {/' "an old copy of the store confirms the configuration"
mutate test_accounts packages/accounts/src/configuration_confirmation.cpp \
  's/std::max(this->confirmed_at, query_time)/query_time/' "an older confirmation shortens the proof"
mutate test_accounts packages/accounts/src/configuration_confirmation.cpp \
  's/  if (version > this->in_force \&\& .*/  if (true) {/' "repeated announcements prolong the proof"
mutate test_accounts packages/accounts/src/configuration_confirmation.cpp \
  's/ - confirmation_margin;/;/' "the proof has no margin"
mutate test_store packages/store/src/object_feed.cpp \
  's/this->confirmed_call_at = this->called_at;/this->confirmed_call_at = now;/' "a response proves the time of its arrival"
mutate test_store packages/store/src/object_feed.cpp \
  's/    if (reply.store_version >= this->watch_version) {/    if (true) {/' "a response from older data is a proof"
mutate test_store packages/store/src/object_feed.cpp \
  's/this->confirmed_call_at = this->list_called_at;/this->confirmed_call_at = this->called_at;/' "the last page of a list proves the first"
mutate test_store packages/store/src/change_relay_buffer.cpp \
  's/std::max(now - this->confirmation->query_time, duration{0})/duration{0}/' "a relay states no age of its proof"
mutate test_store packages/store/src/change_relay_codec.cpp \
  's/  if (news->confirmed_age_ms() < 0) {/  if (false) {/' "an answer of an older build is a proof"
mutate test_membership packages/membership/src/member_table.cpp \
  's/    if (!is_usable(node)) {/    if (false) {/' "nodes without a proof are advertised"
mutate test_membership packages/membership/src/member_table.cpp \
  's/return node.is_confirmed || !any_confirmed;/return node.is_confirmed;/' "nobody is advertised while no node has a proof"
mutate test_membership packages/membership/src/member_table.cpp \
  's/return each.second.reaches_backends \&\& is_usable(each.second);/return each.second.reaches_backends;/' "proofs and links together leave nobody to advertise"
mutate test_membership packages/membership/src/member_table.cpp \
  's/id == this->self || !entry.watching || /id == this->self || /' "refused nodes follow each other"
mutate test_membership packages/membership/src/heartbeat_codec.cpp \
  's/!heartbeat.is_confirmed/false/' "heartbeats do not tell of a missing proof"
mutate test_node packages/node/src/control_thread_confirmation.cpp \
  's/  return this->confirmation \&\& this->watches.front().feed.is_failing();/  return false;/' "a node that the store refuses follows nobody"
mutate test_node packages/node/src/control_thread_relay.cpp \
  's/ \&\& this->confirmation \&\& confirmed) {/ \&\& false) {/' "a follower takes no proof"
mutate test_node packages/node/src/change_relay_client.cpp \
  's/this->polled_at - stated->age/this->polled_at/' "the age in an answer does not count"
mutate test_routing packages/routing/src/backend_state.cpp \
  's/  return reported ? \*reported : this->learned_slowness(now);/  return this->learned_slowness(now);/' "a reported pace is ignored"
mutate test_routing packages/routing/src/backend_state.cpp \
  's/    this->work_pace = {};//' "a server that starts again keeps its pace"
mutate test_routing packages/routing/src/reported_pace.cpp \
  's/    this->trusted = .*/    this->trusted = true;/' "wrong figures are believed"
mutate test_routing packages/routing/src/reported_pace.cpp \
  's/ \* std::exp(-age_ms \/ impl::figure_decay_ms)//' "a figure stays in force"
mutate test_routing packages/routing/src/robust_slowness.cpp \
  's/std::clamp(distance, -bound, bound) \* weight/distance * weight/' "one long answer makes a server slow"
mutate test_routing packages/routing/src/robust_slowness.cpp \
  's/impl::initial_bound \* std::exp2(count - 1)/impl::initial_bound/' "several long answers do not make a server slow"
mutate test_routing packages/routing/src/backend_table_candidates.cpp \
  's/set_robust_slowness(group.settings.robust_slowness)/set_robust_slowness(false)/' "the setting of slowness does not reach servers"
mutate test_accounts packages/accounts/src/account_bucket.cpp \
  's/  this->level = std::max(this->level - amount, 0.0);/  ;/' "a giver keeps the tokens that it sends"
mutate test_accounts packages/accounts/src/account_bucket.cpp \
  's/  share.start = .*/  share.start = share.cap;/' "a restart fills the bucket"
mutate test_accounts packages/accounts/src/account_bucket.cpp \
  's/std::max(this->given_sum - this->current_share.lending, 0.0)/0.0/' "a giver refills while its tokens are unused elsewhere"
mutate test_accounts packages/accounts/src/account_token_exchange.cpp \
  's/  entry.asks.erase(ask);/  ;/' "a grant counts twice"
mutate test_accounts packages/accounts/src/account_token_exchange.cpp \
  's/now - ask.sent_at > max_account_grant_age/false/' "a late grant counts"
mutate test_accounts packages/accounts/src/account_token_exchange.cpp \
  's/duration{pause_ms/duration{20 * pause_ms/' "asks pause for too long"
mutate test_membership packages/membership/src/account_limit_codec.cpp \
  's/item->thousandths() > max_thousandths/false/' "a grant of any size is read"
mutate test_gateway packages/gateway/src/request_flow_limit.cpp \
  's/ || this->matched_route.is_public//' "public requests take tokens"
mutate test_gateway packages/gateway/src/request_flow_limit.cpp \
  's/    this->owner.limits->refund(.*/    ;/' "a request that has not run keeps its token"
mutate test_gateway packages/accounts/src/account_access.cpp \
  's/  if (!is_confirmed) {/  if (false) {/' "keys count although the configuration may be outdated"
mutate test_gateway packages/accounts/src/account_access.cpp \
  's/ \&\& holder->id == identity->id//' "a key that went to another account still counts"
mutate test_gateway packages/accounts/src/account_access.cpp \
  's/is_public ? reason::none : reason::unknown_key/reason::none/' "unknown keys are served"
mutate test_gateway packages/accounts/src/account_access.cpp \
  's/is_public ? reason::none : reason::unknown_key/reason::unknown_key/' "public routes need a key"
mutate test_gateway packages/gateway/src/request_flow.cpp \
  's/  if (!this->refuse_without_access()) {/  if (true) {/' "a request is not checked again after waiting"
mutate test_gateway packages/gateway/src/request_flow.cpp \
  's/this->refuse_if_quarantined() || this->refuse_without_access()/this->refuse_if_quarantined()/' "a request is not checked again before a retry"
mutate test_gateway packages/gateway/src/request_flow_account.cpp \
  's/    replaced.emplace_back(field_names.account_key);/    ;/' "servers get the key"
mutate test_gateway packages/gateway/src/request_flow_account.cpp \
  's/    replaced.emplace_back(field_names.account);/    ;/' "servers get the account that a caller claims"
mutate test_gateway packages/gateway/src/request_flow_account.cpp \
  's/  if (this->run_verdict != verdict::did_not_run) {/  if (false) {/' "a request that may have run gets 401"
mutate test_gateway packages/gateway/src/request_flow_account.cpp \
  's/this->account == nullptr ? nullptr : &this->account->allowed_regions/nullptr/' "the account's regions are ignored"
mutate test_gateway packages/gateway/src/request_flow_account.cpp \
  's/without_account : this->account->priority/without_account : 0/' "the account's priority is ignored"
mutate test_gateway packages/gateway/src/hop_fields.cpp \
  's/  parsed.account = impl::find_account(fields);/  ;/' "a peer does not read the account"
mutate test_gateway packages/routing/include/zinnia/routing/region_filter.hpp \
  's/ \&\& is_in(this->of_account)/ || is_in(this->of_account)/' "a region is allowed if either allows it"
mutate test_platform platform/src/document_decoding.cpp \
  's/  impl::check_destinations(decoded.routing);/  ;/' "a route to an undeclared service is accepted"
mutate test_platform platform/src/account_decoding.cpp \
  's/  if (!(value >= 0) || value/  if (value/' "a negative limit is accepted"
mutate test_platform platform/src/document_decoding.cpp \
  's/"not JSON: error at byte " + std::to_string(failure.byte)/std::string{failure.what()}/' "an error quotes a key"
mutate test_routing packages/routing/src/fair_order.cpp \
  's/: std::max(now, found->second);/: now;/' "an account's requests do not wait for its earlier ones"
mutate test_routing packages/routing/src/fair_order.cpp \
  's/tag + 1 \/ share.weight/tag + 1/' "accounts get the same room whatever their limits"
mutate test_routing packages/routing/src/fair_order.cpp \
  's/    found->second -= 1 \/ share.weight;/    ;/' "a request that leaves keeps its turn"
mutate test_routing packages/routing/src/wait_queue.cpp \
  's/  const double tag = share ? .*/  const double tag = 1e9;/' "the expected wait counts requests that are served later"
mutate test_accounts packages/accounts/src/account_limits.cpp \
  's/  if (table_in == this->table) {/  if (false) {/' "a snapshot with the same accounts forgets outstanding asks"
mutate test_http packages/http/src/backend_connection.cpp \
  's/  if (this->write_failed) {/  if (false) {/' "a response without a length is complete although the connection has failed"
mutate test_http packages/http/src/backend_connection.cpp \
  's/\[self = this->shared_from_this()\] { self->complete_at_end_of_stream(); });/[] {}); this->complete_at_end_of_stream();/' "the end of a response is judged before a failed write is known"
mutate test_http packages/http/src/message_parser.cpp \
  's/status < impl::min_status || status > impl::max_status ||/false ||/' "a status outside 100 to 599 is a response"
mutate test_http packages/http/src/message_parser.cpp \
  's/ || status == impl::status_switching_protocols) {/) {/' "what follows a switch of protocols is read as HTTP"
mutate test_http packages/http/src/caller_exchange.cpp \
  's/    this->connection->set_reset_on_close(true);//' "a response that breaks off looks complete to a caller of HTTP 1.0"
mutate test_http packages/http/src/caller_connection.cpp \
  's/      ends_with_connection ||/      false ||/' "a response follows a body that ends with the connection"
mutate test_store packages/store/src/response_collector.cpp \
  's/std::all_of(name.begin(), name.end(), impl::is_token_character)/true/' "the store's fields may have any name"
mutate test_store packages/store/src/response_collector.cpp \
  's/status < impl::min_final_status || status > impl::max_status/false/' "the store's status may be any number"
mutate test_store packages/store/src/response_collector.cpp \
  's/code == CURLE_OK \&\& !this->head_complete/false/' "a head of the store that breaks off is an answer"
mutate test_store packages/store/src/response_collector.cpp \
  's/body.size() + piece.size() > max_response_body_bytes;/false;/' "the store's answers may have any length"
mutate test_store packages/store/src/response_collector.cpp \
  's/this->shared_budget->used + piece.size() > this->shared_budget->limit/false/' "the store's answers have no common limit"
mutate test_store packages/store/src/response_collector.cpp \
  's/this->header_bytes > impl::max_header_bytes/false/' "the store's trailers may have any length"
mutate test_store packages/store/src/object_feed.cpp \
  's/  if (reply.status == feed_status::too_long) {/  if (false) {/' "a watch whose answer is too long is not replaced by a list"
echo "$survivors survived, stale or broken"
[ "$survivors" -eq 0 ]
