/** @file What each step does to the fleet. */
#include "model/world.h"

namespace marigold::limits::model {

void
World::step(const Step& aStep)
{
  Vm& vm = vmOf(aStep);
  switch (aStep.op) {
    case Op::Advance:
      advance(aStep.amount / 2000.0);
      break;
    case Op::AdvanceLong:
      advance(aStep.amount * 10.0);
      break;
    case Op::Soak:
      for (int turn = 0; turn < aStep.amount / 10; ++turn) {
        for (std::size_t index = 0; index < mVms.size(); ++index) {
          if (((aStep.vm >> index) & 1) != 0) {
            drain(*mVms[index]);
          }
        }
        advance(0.01);
      }
      break;
    case Op::Admit:
      admit(vm, aStep.amount / 10.0);
      break;
    case Op::Drain:
      drain(vm);
      break;
    case Op::Refund:
      refund(vm, aStep.amount / 1000.0);
      break;
    case Op::Pause:
      vm.paused = true;
      break;
    case Op::Resume: {
      vm.paused = false;
      drain(vm); // before anything else could refresh its state
      const auto inbox = std::move(vm.inbox);
      vm.inbox.clear();
      for (const auto& run : inbox) {
        run();
      }
      break;
    }
    case Op::Cut:
      mCut = vm.dataCentre;
      break;
    case Op::Heal:
      mCut = -1;
      break;
    case Op::PlatformDown:
    case Op::PlatformUp:
      mPlatformUp = aStep.op == Op::PlatformUp;
      break;
    case Op::Restart:
      end(vm);
      boot(vm, false);
      break;
    case Op::Replace:
      end(vm);
      mPlatform.unlist(vm.name);
      boot(vm, true);
      break;
    case Op::Stop:
      if (!vm.paused) {
        perform(vm, vm.holder->stop(local(vm)));
        advance(0.2);
        vm.keeper->release();
        tickSlot(vm);
        advance(0.1);
        end(vm);
        boot(vm, false);
      }
      break;
    case Op::Limits:
      setLimits(aStep.amount);
      break;
  }
}

std::string
World::violation() const
{
  return mOracle.violation(mBounds);
}

std::string
run(const Scenario& aScenario)
{
  World world(aScenario);
  for (const Step& step : aScenario.steps) {
    world.step(step);
  }
  return world.violation();
}

} // namespace marigold::limits::model
