"""Steps about the soak."""

import behave

from support import soak, soak_plants

PLANT_SEED = 1
PLANT_SIZE = soak.Size(faults=0)


@behave.then('the soak of seed {seed:d} breaks no promise')
def then_kept(_, seed):
    one = soak.Soak(seed)
    broken = one.run()
    assert not broken, (one.steps, broken[:5], str(one.fleet.folder))


@behave.then('a soak into which {fault} is planted finds it')
def then_found(_, fault):
    plant, told = soak_plants.PLANTS[fault]
    broken = soak.Soak(PLANT_SEED, PLANT_SIZE).run(plant)
    assert any(told in one for one in broken), broken[:5]
