"""Steps that run the commands of the documentation."""

import pathlib
import re
import tempfile

import behave

from features import dev_process, runner

DOCS = runner.ROOT / "docs"
ENDLESS = re.compile(r"^(clementinewood (?:dev|top|entry --settings)\b.*)$")


def read_commands(page):
    text = (DOCS / page).read_text()
    blocks = re.findall(r"^```sh\n(.*?)^```$", text, re.M | re.S)
    return [line for block in blocks for line in block.splitlines()]


@behave.given("a dev site for the page's addresses")
def start_site(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    context.dev = dev_process.DevProcess(context.folder, "--files=site")
    context.add_cleanup(context.dev.stop)


@behave.then('every shell command of "{page}" succeeds')
def run_commands(context, page):
    commands = read_commands(page)
    assert commands, page
    for command in commands:
        line = ENDLESS.sub(r"\1 --seconds 1", command)
        # The page's site already runs; a `dev` command starts another.
        if line.startswith("clementinewood dev"):
            base = dev_process.find_base_port()
            line = line.replace("8080", str(base)).replace("site", "other")
        for number, entry in enumerate(context.dev.entries, start=1):
            line = line.replace(f"127.0.0.1:808{number}", entry)
        code, output = dev_process.run_shell(line, context.folder)
        assert code == 0, (command, code, output)
        if line.startswith("curl"):
            assert re.search(r"^HTTP/1.1 200 ", output, re.M), output


@behave.then(
    "every link in the README and the pages names a file and a heading"
)
def check_links(context):
    pages = [runner.ROOT / "README.md", *DOCS.glob("*.md")]
    for page in pages:
        links = re.findall(r"\]\(([^)#:]+)(?:#([\w-]+))?\)", page.read_text())
        for name, anchor in links:
            target = page.parent / name
            assert target.is_file(), (page.name, name)
            heads = re.findall(r"^#+ (.*)$", target.read_text(), re.M)
            anchors = {re.sub(r"[^\w -]", "", h).lower() for h in heads}
            found = {head.replace(" ", "-") for head in anchors}
            assert not anchor or anchor in found, (page.name, name, anchor)
