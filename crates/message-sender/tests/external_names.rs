//! Each name that leaves a process, as listed in `docs/external-names.txt`, stands in the shipped source.
//! Guards against a rename that changes a serialized field, a header, a setting, a metric or a log message.

use std::fs;
use std::path::{Path, PathBuf};

/// The language of a shipped file, which determines how comments and literals are written in it.
#[derive(Clone, Copy, PartialEq)]
enum Language {
    Rust,
    C,
    Toml,
}

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn entries(folder: &Path) -> Vec<PathBuf> {
    fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect()
}

/// The Rust files in a folder and the folders below it, without those that hold only tests.
fn shipped_rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for path in entries(folder) {
        let name = path.file_name().unwrap().to_str().unwrap();
        if path.is_dir() {
            if name != "tests" {
                files.extend(shipped_rust_files(&path));
            }
        } else if path.extension().is_some_and(|extension| extension == "rs")
            && name != "tests.rs"
            && !name.ends_with("_tests.rs")
        {
            files.push(path);
        }
    }
    files
}

/// The texts of all shipped files, without their comments.
fn shipped_sources() -> Vec<String> {
    let crates = workspace().join("crates");
    let mut files = vec![(workspace().join("deploy/balancer.toml"), Language::Toml)];
    for member in entries(&crates) {
        files.extend(shipped_rust_files(&member.join("src")).into_iter().map(|file| (file, Language::Rust)));
    }
    for file in entries(&crates.join("fault-soak/shim")) {
        if file.extension().is_some_and(|extension| extension == "c") {
            files.push((file, Language::C));
        }
    }
    files
        .into_iter()
        .map(|(file, language)| without_comments(&fs::read_to_string(file).unwrap(), language))
        .collect()
}

/// The names in the text of the list: one a line, except blank lines and remarks.
fn listed_names(list: &str) -> Vec<&str> {
    list.lines().filter(|line| !line.trim().is_empty() && !line.starts_with('#')).collect()
}

/// Replaces each comment by a space, so that the code on both sides of it is not joined to one word.
fn without_comments(mut text: &str, language: Language) -> String {
    let mut kept = String::with_capacity(text.len());
    while let Some(first) = text.chars().next() {
        if let Some(length) = comment_length(text, language) {
            kept.push(' ');
            text = &text[length..];
        } else {
            let length = word_length(text)
                .map(|length| raw_string_length(text, length, language).unwrap_or(length))
                .or_else(|| literal_length(text, language))
                .unwrap_or(first.len_utf8());
            kept.push_str(&text[..length]);
            text = &text[length..];
        }
    }
    kept
}

/// The length of the comment that the text begins with, without the end of its line.
fn comment_length(text: &str, language: Language) -> Option<usize> {
    let line_comment = if language == Language::Toml { "#" } else { "//" };
    if text.starts_with(line_comment) {
        return Some(text.find('\n').unwrap_or(text.len()));
    }
    if language == Language::Toml || !text.starts_with("/*") {
        return None;
    }
    let mut length = 2;
    let mut depth = 1;
    while depth > 0 {
        let rest = &text[length..];
        if rest.starts_with("*/") {
            depth -= 1;
            length += 2;
        } else if language == Language::Rust && rest.starts_with("/*") {
            depth += 1;
            length += 2;
        } else {
            length += rest.chars().next().expect("the comment has an end").len_utf8();
        }
    }
    Some(length)
}

/// The length of the identifier, keyword or number that the text begins with.
fn word_length(text: &str) -> Option<usize> {
    let length = text.find(|letter: char| !letter.is_alphanumeric() && letter != '_').unwrap_or(text.len());
    (length > 0).then_some(length)
}

/// The length of the raw string that the text begins with, if its first word is the prefix of one.
fn raw_string_length(text: &str, prefix: usize, language: Language) -> Option<usize> {
    if language != Language::Rust || !["r", "br", "cr"].contains(&&text[..prefix]) {
        return None;
    }
    let opening = &text[prefix..];
    let content = opening.trim_start_matches('#').strip_prefix('"')?;
    let start = text.len() - content.len();
    let end = format!("\"{}", &opening[..start - prefix - 1]);
    Some(start + content.find(&end).expect("the raw string has an end") + end.len())
}

/// The length of the string or character literal that the text begins with. A Rust lifetime is no literal.
fn literal_length(text: &str, language: Language) -> Option<usize> {
    let quote = text.chars().next().filter(|quote| matches!(quote, '"' | '\''))?;
    if quote == '\'' && language == Language::Rust {
        let mut content = text.chars().skip(1);
        if content.next() != Some('\\') && content.next() != Some('\'') {
            return None;
        }
    }
    let has_escapes = quote == '"' || language != Language::Toml;
    let mut letters = text.char_indices().skip(1);
    while let Some((position, letter)) = letters.next() {
        if letter == quote {
            return Some(position + 1);
        }
        if letter == '\\' && has_escapes {
            letters.next();
        }
    }
    panic!("the literal has an end: {}", text.lines().next().unwrap_or_default());
}

/// Whether the source contains the name, not merely as a part of a longer word.
fn contains_name(source: &str, name: &str) -> bool {
    let continues_word = |letter: char| letter.is_alphanumeric() || letter == '_' || letter == '-';
    source.match_indices(name).any(|(start, _)| {
        !source[..start].ends_with(continues_word)
            && !source[start + name.len()..].starts_with(continues_word)
    })
}

/// The names that none of the sources contains.
fn missing_names<'a>(names: &[&'a str], sources: &[String]) -> Vec<&'a str> {
    names.iter().copied().filter(|name| !sources.iter().any(|source| contains_name(source, name))).collect()
}

/// Guards against renaming an identifier whose name other processes or operators rely on: the code still
/// compiles, and tests that use the renamed identifier still pass.
#[test]
fn each_listed_name_stands_in_the_shipped_source() {
    let list = fs::read_to_string(workspace().join("docs/external-names.txt")).unwrap();
    let names = listed_names(&list);
    assert!(names.contains(&"idempotency-key"), "the list is read: {names:?}");
    let missing = missing_names(&names, &shipped_sources());
    assert!(missing.is_empty(), "names that the shipped source no longer contains: {missing:#?}");
}

/// Guards against a search that finds every name, for instance because a quote in a comment or in a character
/// literal is taken for the start of a string.
#[test]
fn a_name_only_in_a_comment_or_a_longer_word_is_missing() {
    let rust = r##"
        //! in_module_comment
        /// in_doc_comment
        struct Kept<'a> { call_id: &'a str } // in_line_comment "in_quoted_comment"
        /* in_block_comment /* nested */ in_outer_comment */
        const QUOTE: char = '"'; // after_quote
        const ESCAPED: char = '\''; // after_escaped_quote
        const TEXT: &str = "\"https://in_string/*"; // after_string
        const RAW: &str = r#""in_raw_string//"#; // after_raw_string
        const HEADER: &str = "x-call-id-old";
        let (my_budget, budget_ms, budget2) = (1, 1, 1);
        reply("serving\n"); r#type(); let joined/**/word = 1;
    "##;
    let c = r#"
        int in_c; /* in_c_comment /* */ char quote = '"'; // after_c_quote
        char *text = "in_c_string//";
    "#;
    let toml = r#"
        in_toml = "in_toml_string#" # in_toml_comment
        literal = 'a\' # after_literal
    "#;
    let sources = [(rust, Language::Rust), (c, Language::C), (toml, Language::Toml)]
        .map(|(text, language)| without_comments(text, language));

    let present = [
        "call_id",
        "in_string",
        "in_raw_string",
        "x-call-id-old",
        "budget2",
        "serving\\n",
        "type",
        "in_c",
        "in_c_string",
        "in_toml",
        "in_toml_string",
        "literal",
    ];
    assert_eq!(missing_names(&present, &sources), Vec::<&str>::new());
    let absent = [
        "in_module_comment",
        "in_doc_comment",
        "in_line_comment",
        "in_quoted_comment",
        "in_block_comment",
        "nested",
        "in_outer_comment",
        "after_quote",
        "after_escaped_quote",
        "after_string",
        "after_raw_string",
        "x-call-id",
        "call-id",
        "budget",
        "serving\n",
        "joinedword",
        "in_c_comment",
        "after_c_quote",
        "in_toml_comment",
        "after_literal",
    ];
    assert_eq!(missing_names(&absent, &sources), absent);
}

/// Guards against searching for a remark or a blank line as a name, and against names that are altered when
/// the list is read, for instance because they contain a space or a backslash.
#[test]
fn remarks_and_blank_lines_of_the_list_are_no_names() {
    let list = "# a remark\nhanded over\n\n  \nserving\\n\nsubject=\n/status\n";
    assert_eq!(listed_names(list), ["handed over", "serving\\n", "subject=", "/status"]);
}
