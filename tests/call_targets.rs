//! Tests that the names and values in a call reach the other side as they are.

use http::Uri;
use percent_encoding::percent_decode_str;
use primrosehoist::transport::platform::{Target, target};
use primrosehoist_property::arbitrary::{self, Unstructured};
use primrosehoist_property::check;

/// The names of the options that are added.
const OPTIONS: [&str; 3] = ["After", "Watch", "host"];

/// The largest number of any other characters in a name, so that a target stays below the limit of URIs.
const NAME_CHARS_MAX: usize = 500;

/// Returns text that consists of characters with a meaning in paths and queries, or of any others.
fn text(u: &mut Unstructured<'_>) -> arbitrary::Result<String> {
    const SPECIAL: [char; 24] = [
        '%',
        '&',
        '=',
        '+',
        '#',
        '?',
        '/',
        '.',
        ' ',
        ';',
        ',',
        ':',
        '@',
        '\\',
        '"',
        '\0',
        '\r',
        '\n',
        '2',
        'e',
        'F',
        '\u{e9}',
        '\u{fffd}',
        '\u{10ffff}',
    ];
    let mut text = String::new();
    for _ in 0..u.int_in_range(0..=8)? {
        text.push(if u.ratio(3, 4)? {
            *u.choose(&SPECIAL)?
        } else {
            u.arbitrary()?
        });
    }
    if u.ratio(1, 8)? {
        text.extend(u.arbitrary::<&str>()?.chars().take(NAME_CHARS_MAX));
    }
    Ok(text)
}

fn decode(part: &str) -> String {
    let decoded = percent_decode_str(part).decode_utf8();
    decoded.expect("the part is UTF-8").into_owned()
}

#[test]
fn names_and_values_are_decoded_to_the_same_text() {
    check(3000, |u| {
        let names: Vec<String> = (0..u.int_in_range(1..=4)?)
            .map(|_| text(u))
            .collect::<arbitrary::Result<_>>()?;
        let is_usable = |name: &String| !["", ".", ".."].contains(&name.as_str());
        let target = names
            .iter()
            .try_fold(Target::new("/objects"), |target, name| target.segment(name));
        let mut target = match target {
            Ok(target) => target,
            Err(target::Error::Segment(name)) => {
                assert!(!is_usable(&name) && names.contains(&name), "{name:?}");
                return Ok(());
            }
        };
        assert!(names.iter().all(is_usable), "{names:?}");
        let mut options = Vec::new();
        for _ in 0..u.int_in_range(0..=3)? {
            let (name, value) = (*u.choose(&OPTIONS)?, text(u)?);
            target = target.option(name, &value);
            options.push((name.to_owned(), value));
        }
        let uri: Uri = target.as_str().parse().expect("the target is a URI");
        assert_eq!(uri.to_string(), target.as_str());
        let segments: Vec<String> = uri.path().split('/').skip(2).map(decode).collect();
        assert_eq!(segments, names);
        let query = uri.query().unwrap_or_default();
        // A server may take a plus sign for a space, or for what it is.
        let form: Vec<(String, String)> = form_urlencoded::parse(query.as_bytes())
            .into_owned()
            .collect();
        assert_eq!(form, options);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let plain: Vec<(String, String)> = pairs
            .map(|(name, value)| (decode(name), decode(value)))
            .collect();
        assert_eq!(plain, options);
        Ok(())
    });
}

#[test]
fn lists_have_commas_and_nothing_else_of_a_query() {
    check(500, |u| {
        let list = text(u)?;
        let target = Target::new("/admin/cuts").list(&list);
        let uri: Uri = target.as_str().parse().expect("the target is a URI");
        let query = uri.query().expect("a query");
        assert_eq!(decode(query), list);
        assert!(!query.contains(['&', '=', '+', '#', ' ']), "{query}");
        Ok(())
    });
}

#[test]
fn dot_segments_and_empty_names_are_errors() {
    for name in ["", ".", ".."] {
        let error = Target::new("/objects").segment(name);
        assert_eq!(error, Err(target::Error::Segment(name.to_owned())));
    }
    for name in ["...", ".a", "%2e%2e", "a/..", " "] {
        let target = Target::new("/objects").segment(name).expect("a target");
        assert_eq!(target.as_str().matches('/').count(), 2, "{target}");
    }
}
