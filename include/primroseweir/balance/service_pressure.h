#ifndef PRIMROSEWEIR_BALANCE_SERVICE_PRESSURE_H_
#define PRIMROSEWEIR_BALANCE_SERVICE_PRESSURE_H_

namespace primroseweir {

// How much of the room at the upstreams of one service is taken by the calls of all instances.
//
// Load pattern: a burst that reaches all data centres at once. While every data centre has room,
// each one's upstreams are used by its own instances and need no exact count elsewhere. Once calls
// spill over to other data centres, instances that do not know of each other's calls fill the same
// upstreams beyond the knee, which slows all of their calls down and keeps the service overloaded
// after the burst.
class ServicePressure {
 public:
  ServicePressure() = default;
  // `tight_level` and `relaxed_level` replace the defaults below.
  ServicePressure(double tight_level, double relaxed_level)
      : tight_level_(tight_level), relaxed_level_(relaxed_level) {}

  // Records that `calls` are in flight at upstreams that should have at most `room`, from all
  // instances as far as known. Called at each load report.
  void Update(double calls, double room);

  // Returns the used fraction of the room at the last update; 1 without room.
  double level() const { return level_; }
  // Returns whether calls may soon spill over to other data centres. Once true, it stays true until
  // the level is below the relaxed level, so that the reports do not start and stop several times a
  // second.
  bool is_tight() const { return is_tight_; }

  // With more than half of the room taken, single upstreams are full.
  static constexpr double kTightLevel = 0.5;
  static constexpr double kRelaxedLevel = 0.4;

 private:
  double tight_level_ = kTightLevel;
  double relaxed_level_ = kRelaxedLevel;
  double level_ = 0;
  bool is_tight_ = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_SERVICE_PRESSURE_H_
