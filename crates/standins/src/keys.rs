//! Certificate authority and certificates for one local run.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use bpaf::Bpaf;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::DnType;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;

use crate::server::BoxError;

/// DNS name in every certificate. Processes verify this name regardless of the peer's address.
const SHARED_NAME: &str = "siskinbend";

/// Command line options of the certificate generator.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Directory to write to; it is created if absent
    #[bpaf(argument("DIR"))]
    pub out: PathBuf,
    /// DNS name and file name of a certificate; may be repeated
    #[bpaf(argument("NAME"))]
    pub name: Vec<String>,
}

/// Writes `ca.pem`, `ca.key` and, for each name, `NAME.pem` and `NAME.key`.
///
/// # Errors
/// A file cannot be written or a name is not a valid DNS name.
pub fn write(options: &Options) -> Result<(), BoxError> {
    fs::create_dir_all(&options.out)?;
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
        .distinguished_name
        .push(DnType::CommonName, "siskinbend local CA");
    let key = KeyPair::generate()?;
    write_pair(&options.out, "ca", &params.self_signed(&key)?.pem(), &key)?;
    let issuer = Issuer::new(params, key);
    for name in &options.name {
        let mut params = CertificateParams::new(vec![SHARED_NAME.to_owned(), name.clone()])?;
        params
            .distinguished_name
            .push(DnType::CommonName, name.as_str());
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        params.use_authority_key_identifier_extension = true;
        let key = KeyPair::generate()?;
        write_pair(
            &options.out,
            name,
            &params.signed_by(&key, &issuer)?.pem(),
            &key,
        )?;
    }
    Ok(())
}

fn write_pair(out: &Path, name: &str, pem: &str, key: &KeyPair) -> Result<(), BoxError> {
    fs::write(out.join(format!("{name}.pem")), pem)?;
    fs::write(out.join(format!("{name}.key")), key.serialize_pem())?;
    Ok(())
}
