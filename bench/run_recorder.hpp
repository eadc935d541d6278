// Collects the result of one simulated run.
#pragma once

#include <map>
#include <string>

#include "simulated_request.hpp"
#include "simulation.hpp"

namespace zinnia::bench {

class run_recorder {
 public:
  void on_arrival(const simulated_request& arrived);
  void on_refusal() noexcept { ++this->result.refused; }
  /// \brief Records a request's end. One that was served after its deadline counts as failed.
  void on_end(const simulated_request& ended, bool served, sim_time now);
  /// \brief Records that a request reached a server of that region.
  void on_reached(const region_id& caller, const region_id& server, sim_time now);
  void on_run(bool was_warm) noexcept;
  /// \brief Records a sample of the fraction of slots that are free.
  void on_free_slots(double fraction) noexcept;

  /// \brief Returns the result with sorted latencies, means and shifts.
  [[nodiscard]] simulation_result finish();

 private:
  simulation_result result;
  int free_slot_samples{0};
  // Requests that reach a server, by caller region, window number and server region.
  std::map<std::string, std::map<std::int64_t, std::map<std::string, int>>> reached_by_region;
};

}  // namespace zinnia::bench
