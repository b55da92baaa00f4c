"""Entry point of the program ``fuchsiafork-keeper``."""

from fuchsiafork.keeper.program import KeeperProgram
from fuchsiafork.settings import KeeperSettings
from fuchsiafork.settings.launch import make_main

main = make_main('fuchsiafork-keeper', KeeperSettings, KeeperProgram)

if __name__ == '__main__':
    main()
