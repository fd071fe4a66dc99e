//! QUIC endpoints with mutual TLS.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use displaydoc::Display;
use quinn::ClientConfig;
use quinn::Connecting;
use quinn::Connection;
use quinn::Endpoint;
use quinn::IdleTimeout;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::pem::PemObject;

use crate::limits;

/// Why the transport can't be set up or a peer can't be reached.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum TransportError {
    /// the file {0} can't be read as PEM: {1}
    File(PathBuf, String),
    /// the certificates or the key can't be used: {0}
    Credentials(String),
    /// the address {0} can't be bound: {1}
    Bind(SocketAddr, String),
    /// the peer {0} can't be reached: {1}
    Connect(SocketAddr, String),
}

impl std::error::Error for TransportError {}

/// Certificates and private key of this process.
#[derive(Debug)]
pub struct Credentials {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Credentials {
    /// Reads the CA's certificates, this process's certificate chain and its private key.
    ///
    /// # Errors
    ///
    /// Returns the file that can't be read; the key's content is never part of an error.
    pub fn load(ca: &Path, chain: &Path, key: &Path) -> Result<Self, TransportError> {
        let mut roots = RootCertStore::empty();
        for root in read_chain(ca)? {
            roots
                .add(root)
                .map_err(|e| TransportError::File(ca.to_owned(), e.to_string()))?;
        }
        let file =
            |e: rustls_pki_types::pem::Error| TransportError::File(key.to_owned(), e.to_string());
        let private = PrivateKeyDer::from_pem_file(key).map_err(file)?;
        Ok(Self {
            roots: Arc::new(roots),
            chain: read_chain(chain)?,
            key: private,
        })
    }

    /// Builds the configuration for accepting peers; it demands a certificate of the CA.
    ///
    /// # Errors
    ///
    /// Returns why certificate and key can't be used together.
    pub fn server_config(&self) -> Result<ServerConfig, TransportError> {
        let keys = |e: &dyn std::fmt::Display| TransportError::Credentials(e.to_string());
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let roots = Arc::clone(&self.roots);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider))
            .build()
            .map_err(|e| keys(&e))?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| keys(&e))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|e| keys(&e))?;
        tls.alpn_protocols = vec![limits::PROTOCOL.to_vec()];
        let quic = QuicServerConfig::try_from(tls).map_err(|e| keys(&e))?;
        let mut config = ServerConfig::with_crypto(Arc::new(quic));
        config.transport_config(Arc::new(transport(
            limits::SERVER_IDLE_TIMEOUT,
            limits::MAX_STREAMS,
        )));
        Ok(config)
    }

    /// Builds the configuration for connecting to one of that many peers. Only the connecting
    /// side sends keep-alive packets.
    ///
    /// # Errors
    ///
    /// Returns why certificate and key can't be used together.
    pub fn client_config(&self, peers: usize) -> Result<ClientConfig, TransportError> {
        let keys = |e: &dyn std::fmt::Display| TransportError::Credentials(e.to_string());
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| keys(&e))?
            .with_root_certificates(Arc::clone(&self.roots))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|e| keys(&e))?;
        tls.alpn_protocols = vec![limits::PROTOCOL.to_vec()];
        let quic = QuicClientConfig::try_from(tls).map_err(|e| keys(&e))?;
        let mut config = ClientConfig::new(Arc::new(quic));
        let interval = keep_alive_interval(peers);
        let idle = (3 * interval).max(limits::IDLE_TIMEOUT);
        let mut transport = transport(idle, limits::MAX_SERVER_STREAMS);
        transport.keep_alive_interval(Some(interval));
        config.transport_config(Arc::new(transport));
        Ok(config)
    }
}

fn read_chain(path: &Path) -> Result<Vec<CertificateDer<'static>>, TransportError> {
    let file =
        |e: rustls_pki_types::pem::Error| TransportError::File(path.to_owned(), e.to_string());
    let chain: Result<Vec<_>, _> = CertificateDer::pem_file_iter(path).map_err(file)?.collect();
    let chain = chain.map_err(file)?;
    if chain.is_empty() {
        return Err(TransportError::File(
            path.to_owned(),
            "it holds no certificate".to_owned(),
        ));
    }
    Ok(chain)
}

/// Interval of keep-alive packets of a process with that many peers.
pub fn keep_alive_interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    limits::MIN_KEEP_ALIVE_INTERVAL.max(limits::KEEP_ALIVE_PER_PEER.saturating_mul(peers))
}

fn transport(idle: Duration, streams: u32) -> TransportConfig {
    let mut config = TransportConfig::default();
    let idle = u32::try_from(idle.as_millis()).unwrap_or(u32::MAX);
    config
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(idle))))
        .max_concurrent_bidi_streams(VarInt::from_u32(streams))
        .stream_receive_window(VarInt::from_u32(limits::STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(limits::CONNECTION_WINDOW_BYTES));
    config
}

/// Binds an endpoint that accepts peers and can connect to that many others.
///
/// # Errors
///
/// Returns why the keys can't be used or the address can't be bound.
pub fn bind_server(
    address: SocketAddr,
    keys: &Credentials,
    peers: usize,
) -> Result<Endpoint, TransportError> {
    let mut endpoint = Endpoint::server(keys.server_config()?, address)
        .map_err(|e| TransportError::Bind(address, e.to_string()))?;
    endpoint.set_default_client_config(keys.client_config(peers)?);
    Ok(endpoint)
}

/// Binds an endpoint that only connects to peers.
///
/// # Errors
///
/// Returns why the keys can't be used or no port is free.
pub fn bind_client(address: SocketAddr, keys: &Credentials) -> Result<Endpoint, TransportError> {
    let mut endpoint =
        Endpoint::client(address).map_err(|e| TransportError::Bind(address, e.to_string()))?;
    endpoint.set_default_client_config(keys.client_config(1)?);
    Ok(endpoint)
}

/// Connects to peers with keys that can be replaced.
#[derive(Debug)]
pub struct Dialer {
    endpoint: Endpoint,
    config: RwLock<ClientConfig>,
}

impl Dialer {
    /// Connects over an endpoint, with keep-alive packets fit for that many peers.
    ///
    /// # Errors
    ///
    /// Returns why the keys can't be used.
    pub fn new(
        endpoint: Endpoint,
        keys: &Credentials,
        peers: usize,
    ) -> Result<Self, TransportError> {
        let config = RwLock::new(keys.client_config(peers)?);
        Ok(Self { endpoint, config })
    }

    /// Uses other keys for new connections.
    ///
    /// # Errors
    ///
    /// Returns why the keys can't be used; the old ones stay in use.
    pub fn replace_credentials(
        &self,
        keys: &Credentials,
        peers: usize,
    ) -> Result<(), TransportError> {
        let config = keys.client_config(peers)?;
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = config;
        Ok(())
    }

    /// Connects to a peer within [`limits::CONNECT_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// Returns why the peer can't be reached or isn't trusted.
    pub async fn connect(&self, to: SocketAddr) -> Result<Connection, TransportError> {
        let config = self
            .config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let pending = self.endpoint.connect_with(config, to, limits::SERVER_NAME);
        await_handshake(pending.map_err(|e| e.to_string()), to).await
    }
}

/// Connects to a peer within [`limits::CONNECT_TIMEOUT`].
///
/// # Errors
///
/// Returns why the peer can't be reached or isn't trusted.
pub async fn connect(endpoint: &Endpoint, to: SocketAddr) -> Result<Connection, TransportError> {
    let pending = endpoint.connect(to, limits::SERVER_NAME);
    await_handshake(pending.map_err(|e| e.to_string()), to).await
}

async fn await_handshake(
    pending: Result<Connecting, String>,
    to: SocketAddr,
) -> Result<Connection, TransportError> {
    let failed = |e: &dyn std::fmt::Display| TransportError::Connect(to, e.to_string());
    let pending = pending.map_err(|e| failed(&e))?;
    match tokio::time::timeout(limits::CONNECT_TIMEOUT, pending).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => Err(failed(&error)),
        Err(_) => Err(failed(&"the handshake timed out")),
    }
}
