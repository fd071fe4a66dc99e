//! The active document of this process.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use displaydoc::Display;

use siskinbend_document::Document;
use siskinbend_document::Findings;
use siskinbend_types::Version;
use siskinbend_wire::DocumentVersion;

use crate::settings::Common;

/// Why the document file cannot be used.
#[derive(Debug, Display)]
pub enum LoadError {
    /// cannot read the document {0}: {1}
    File(PathBuf, std::io::Error),
    /// the document {0} is invalid: {1}
    Findings(PathBuf, Findings),
}

/// A document with its version.
#[derive(Debug)]
struct Loaded {
    document: Arc<Document>,
    version: DocumentVersion,
}

/// Holds the active document. A request keeps the document that was active when it began.
#[derive(Debug, Default)]
pub struct ActiveDocument {
    loaded: RwLock<Option<Loaded>>,
}

impl ActiveDocument {
    /// Reads the document file of the settings, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or the document is invalid.
    pub fn load(settings: &Common) -> Result<Self, LoadError> {
        let active = Self::default();
        if let Some(path) = &settings.document {
            let text = read_file(path)?;
            let document = Document::parse(&text)
                .map_err(|findings| LoadError::Findings(path.clone(), findings))?;
            let version = DocumentVersion {
                version: Version(1),
                digest: Document::digest(&text),
            };
            active.replace(document, version);
        }
        Ok(active)
    }

    /// Replaces the active document with a newer version.
    ///
    /// # Panics
    ///
    /// Panics if the version is not higher than the active one: a version never goes back.
    pub fn replace(&self, document: Document, version: DocumentVersion) {
        let mut loaded = self.loaded.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(old) = &*loaded {
            assert!(
                version.version > old.version.version,
                "document version {} would replace version {}",
                version.version,
                old.version.version,
            );
        }
        *loaded = Some(Loaded {
            document: Arc::new(document),
            version,
        });
    }

    /// The active document.
    pub fn document(&self) -> Option<Arc<Document>> {
        let loaded = self.loaded.read().unwrap_or_else(PoisonError::into_inner);
        loaded.as_ref().map(|l| Arc::clone(&l.document))
    }

    /// Version and digest of the active document.
    pub fn version(&self) -> Option<DocumentVersion> {
        let loaded = self.loaded.read().unwrap_or_else(PoisonError::into_inner);
        loaded.as_ref().map(|l| l.version)
    }
}

fn read_file(path: &Path) -> Result<String, LoadError> {
    let error = |e| LoadError::File(path.to_owned(), e);
    std::fs::read_to_string(path).map_err(error)
}
