"""What shows that another controller is in contact."""

from ward import test

from honeywood.gateway.controller.contact import Contacts
from honeywood.gateway.register.replacement import DiskState


@test("a request shows contact when the answer was sent whose stamp it repeats, a copy nothing")
def _():
    contacts = Contacts("a", "a1", 0.0, 1, lambda: ["a", "b", "c"])
    contacts.asked("b", 1.0, None, 7, DiskState.WORKS)  # nothing of ours: it may be of any age
    assert contacts.states()["b"].contact_at == 0.0 and not contacts.have_heard(7)
    first, second = contacts.stamp(2.0), contacts.stamp(3.0)
    contacts.asked("b", 3.1, second, 9, DiskState.WORKS)
    contacts.asked("b", 8.0, first, 4, DiskState.WORKS)
    contacts.asked("b", 8.0, second, 9, DiskState.WORKS)
    contacts.asked("b", 8.0, ["a0", 7.0], 99, DiskState.WORKS)  # of an earlier life of this controller
    assert contacts.states()["b"].contact_at == 3.0 and not contacts.have_heard(10)
    assert contacts.vouching(5.9) == {"a", "b"} and contacts.vouching(6.1) == {"a"}
