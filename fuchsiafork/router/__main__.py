"""Program ``fuchsiafork-router``."""

from fuchsiafork.router.program import RouterProgram
from fuchsiafork.settings import RouterSettings
from fuchsiafork.settings.launch import make_main

main = make_main('fuchsiafork-router', RouterSettings, RouterProgram)

if __name__ == '__main__':
    main()
