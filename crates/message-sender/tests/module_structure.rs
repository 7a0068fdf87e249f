//! Checks that there are no import cycles between the sender's modules.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// For each module, the modules that it imports by a path that begins with `crate::`.
type Imports = BTreeMap<String, BTreeSet<String>>;

fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else {
            files.push(path);
        }
    }
    files
}

/// The top-level module of a file: the first folder of its path, or the file's own name.
fn module_of(file: &Path) -> String {
    let first = file.components().next().unwrap().as_os_str().to_str().unwrap();
    first.trim_end_matches(".rs").to_owned()
}

fn imports() -> Imports {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut imports = Imports::new();
    for file in source_files(&root) {
        let module = module_of(file.strip_prefix(&root).unwrap());
        let text = fs::read_to_string(&file).unwrap();
        let imported = imports.entry(module.clone()).or_default();
        for path in text.split("crate::").skip(1) {
            let name: String =
                path.chars().take_while(|letter| letter.is_alphanumeric() || *letter == '_').collect();
            if name != module {
                imported.insert(name);
            }
        }
    }
    imports
}

/// Repeatedly removes modules that import none of the remaining ones. Returns what is left: modules that are
/// part of a cycle, and modules that import one of those directly or indirectly.
fn modules_in_or_above_cycles(mut imports: Imports) -> Vec<String> {
    loop {
        let names: BTreeSet<String> = imports.keys().cloned().collect();
        let before = imports.len();
        imports.retain(|_, imported| imported.iter().any(|name| names.contains(name)));
        if imports.len() == before {
            return names.into_iter().collect();
        }
    }
}

/// Guards against import cycles between modules, which could then only be understood together.
#[test]
fn no_circle_of_imports_between_modules() {
    let imports = imports();
    assert!(imports["event_loop"].contains("journal"), "an import that exists was not found: {imports:?}");
    assert_eq!(modules_in_or_above_cycles(imports), Vec::<String>::new());
}

/// Guards against a cycle search that finds nothing, with which the test above would always pass.
#[test]
fn a_circle_is_found() {
    let module = |name: &str, imported: &[&str]| {
        (name.to_owned(), imported.iter().map(|name| (*name).to_owned()).collect::<BTreeSet<_>>())
    };
    let imports = [module("a", &["b"]), module("b", &["c"]), module("c", &["b", "d"]), module("d", &[])];
    assert_eq!(modules_in_or_above_cycles(imports.into_iter().collect()), ["a", "b", "c"]);
}
