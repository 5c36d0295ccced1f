//! Tests of the version that a daemon has after it has read a list of the platform's objects.

use primrosehoist::state::versions::{Revision, after_list};

const ERA: u64 = 3;

fn at(number: u64) -> Revision {
    Revision { era: ERA, number }
}

#[test]
fn version_is_that_of_the_newest_change_to_the_kind() {
    assert_eq!(after_list(at(90), [12, 40, 7], at(0)), Some(at(40)));
    assert_eq!(after_list(at(90), [12, 40, 90], at(0)), Some(at(90)));
}

/// Guards against skipping changes between two pages: a later page may show objects that were changed after
/// the first page was read, and other changes between the two are still to come.
#[test]
fn changes_after_the_first_page_do_not_count() {
    assert_eq!(after_list(at(90), [12, 95, 40, 93], at(0)), Some(at(40)));
    assert_eq!(after_list(at(90), [95], at(0)), Some(at(0)));
}

/// Guards against a list that replaces what another daemon has reported while the list was on its way: the
/// changes in between would not be reported again.
#[test]
fn list_that_is_older_than_what_is_known_is_not_applied() {
    assert_eq!(after_list(at(90), [12, 40], at(91)), None);
    assert_eq!(after_list(at(90), [12, 95], at(91)), None);
    assert_eq!(after_list(at(90), [12, 40], at(90)), Some(at(40)));
    let later_era = Revision {
        era: ERA + 1,
        number: 5,
    };
    assert_eq!(after_list(at(90), [12, 40], later_era), None);
    assert_eq!(
        after_list(later_era, [2, 4], at(90)),
        Some(Revision {
            number: 4,
            ..later_era
        })
    );
}

#[test]
fn list_without_objects_has_the_lowest_version_of_its_era() {
    assert_eq!(after_list(at(90), [], at(0)), Some(at(0)));
}
