"""The former place of `tests.control.registry.helpers`, for tests of other folders that import from here."""

from tests.control.registry.helpers import ROOT as ROOT
from tests.control.registry.helpers import Watcher as Watcher
from tests.control.registry.helpers import address_of as address_of
from tests.control.registry.helpers import call as call
from tests.control.registry.helpers import named as named
from tests.control.registry.helpers import raw as raw
from tests.control.registry.helpers import serving as serving
from tests.control.registry.helpers import start as start
