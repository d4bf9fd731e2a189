"""Steps for a whole site in one process."""

import behave

from clementinewood import command_demo, dev


@behave.when("the demonstration runs")
def run_demonstration(context):
    context.demo = command_demo.Demo(dev.DevSite(dev.read_example("guild")))
    context.status = context.demo.run()


@behave.then("every stage of the demonstration has passed")
def check_demonstration(context):
    assert context.status == 0
    assert context.demo.failed == 0
