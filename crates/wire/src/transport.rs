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

/// Why the transport can't be set up or a connection fails.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum TransportError {
    /// can't read the PEM file {0}: {1}
    File(PathBuf, String),
    /// invalid certificates or private key: {0}
    Credentials(String),
    /// can't bind the address {0}: {1}
    Bind(SocketAddr, String),
    /// can't connect to the peer {0}: {1}
    Connect(SocketAddr, String),
}

impl std::error::Error for TransportError {}

/// CA certificates, certificate chain and private key of this process.
#[derive(Debug)]
pub struct Credentials {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    private_key: PrivateKeyDer<'static>,
}

impl Credentials {
    /// Reads the CA's certificates, this process's certificate chain and its private key.
    ///
    /// # Errors
    ///
    /// Returns the file that can't be read. Errors never include the content of the private key.
    pub fn load(ca: &Path, chain: &Path, key: &Path) -> Result<Self, TransportError> {
        let mut roots = RootCertStore::empty();
        for root in read_chain(ca)? {
            roots
                .add(root)
                .map_err(|e| TransportError::File(ca.to_owned(), e.to_string()))?;
        }
        let unreadable =
            |e: rustls_pki_types::pem::Error| TransportError::File(key.to_owned(), e.to_string());
        let private_key = PrivateKeyDer::from_pem_file(key).map_err(unreadable)?;
        Ok(Self {
            roots: Arc::new(roots),
            chain: read_chain(chain)?,
            private_key,
        })
    }

    /// Builds the configuration for accepting peers, which requires client certificates of the CA.
    ///
    /// # Errors
    ///
    /// Returns why the certificates or the private key can't be used.
    pub fn server_config(&self) -> Result<ServerConfig, TransportError> {
        let invalid = |e: &dyn std::fmt::Display| TransportError::Credentials(e.to_string());
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let roots = Arc::clone(&self.roots);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider))
            .build()
            .map_err(|e| invalid(&e))?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| invalid(&e))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.private_key.clone_key())
            .map_err(|e| invalid(&e))?;
        tls.alpn_protocols = vec![limits::PROTOCOL.to_vec()];
        let quic = QuicServerConfig::try_from(tls).map_err(|e| invalid(&e))?;
        let mut config = ServerConfig::with_crypto(Arc::new(quic));
        config.transport_config(Arc::new(build_transport(
            limits::SERVER_IDLE_TIMEOUT,
            limits::MAX_CLIENT_STREAMS,
        )));
        Ok(config)
    }

    /// Builds the configuration for connecting to one of `peers` peers. Only the connecting side
    /// sends keep-alive packets.
    ///
    /// # Errors
    ///
    /// Returns why the certificates or the private key can't be used.
    pub fn client_config(&self, peers: usize) -> Result<ClientConfig, TransportError> {
        let invalid = |e: &dyn std::fmt::Display| TransportError::Credentials(e.to_string());
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| invalid(&e))?
            .with_root_certificates(Arc::clone(&self.roots))
            .with_client_auth_cert(self.chain.clone(), self.private_key.clone_key())
            .map_err(|e| invalid(&e))?;
        tls.alpn_protocols = vec![limits::PROTOCOL.to_vec()];
        let quic = QuicClientConfig::try_from(tls).map_err(|e| invalid(&e))?;
        let mut config = ClientConfig::new(Arc::new(quic));
        let interval = keep_alive_interval(peers);
        let idle_timeout = (3 * interval).max(limits::IDLE_TIMEOUT);
        let mut transport = build_transport(idle_timeout, limits::MAX_SERVER_STREAMS);
        transport.keep_alive_interval(Some(interval));
        config.transport_config(Arc::new(transport));
        Ok(config)
    }
}

fn read_chain(path: &Path) -> Result<Vec<CertificateDer<'static>>, TransportError> {
    let unreadable =
        |e: rustls_pki_types::pem::Error| TransportError::File(path.to_owned(), e.to_string());
    let chain: Result<Vec<_>, _> = CertificateDer::pem_file_iter(path)
        .map_err(unreadable)?
        .collect();
    let chain = chain.map_err(unreadable)?;
    if chain.is_empty() {
        return Err(TransportError::File(
            path.to_owned(),
            "the file contains no certificate".to_owned(),
        ));
    }
    Ok(chain)
}

/// Returns the keep-alive interval of a process with `peers` peers.
pub fn keep_alive_interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    limits::MIN_KEEP_ALIVE_INTERVAL.max(limits::KEEP_ALIVE_PER_PEER.saturating_mul(peers))
}

fn build_transport(idle_timeout: Duration, streams: u32) -> TransportConfig {
    let mut config = TransportConfig::default();
    let idle_ms = u32::try_from(idle_timeout.as_millis()).unwrap_or(u32::MAX);
    config
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(idle_ms))))
        .max_concurrent_bidi_streams(VarInt::from_u32(streams))
        .stream_receive_window(VarInt::from_u32(limits::STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(limits::CONNECTION_WINDOW_BYTES));
    config
}

/// Binds an endpoint that accepts peers and can also connect to `peers` peers.
///
/// # Errors
///
/// Returns why the credentials can't be used or the address can't be bound.
pub fn bind_server(
    address: SocketAddr,
    credentials: &Credentials,
    peers: usize,
) -> Result<Endpoint, TransportError> {
    let mut endpoint = Endpoint::server(credentials.server_config()?, address)
        .map_err(|e| TransportError::Bind(address, e.to_string()))?;
    endpoint.set_default_client_config(credentials.client_config(peers)?);
    Ok(endpoint)
}

/// Binds an endpoint that only connects to peers.
///
/// # Errors
///
/// Returns why the credentials can't be used or no port is free.
pub fn bind_client(
    address: SocketAddr,
    credentials: &Credentials,
) -> Result<Endpoint, TransportError> {
    let mut endpoint =
        Endpoint::client(address).map_err(|e| TransportError::Bind(address, e.to_string()))?;
    endpoint.set_default_client_config(credentials.client_config(1)?);
    Ok(endpoint)
}

/// Connects to peers with credentials that can be replaced.
#[derive(Debug)]
pub struct Dialer {
    endpoint: Endpoint,
    config: RwLock<ClientConfig>,
}

impl Dialer {
    /// Creates a dialer on an endpoint, with a keep-alive interval for `peers` peers.
    ///
    /// # Errors
    ///
    /// Returns why the credentials can't be used.
    pub fn new(
        endpoint: Endpoint,
        credentials: &Credentials,
        peers: usize,
    ) -> Result<Self, TransportError> {
        let config = RwLock::new(credentials.client_config(peers)?);
        Ok(Self { endpoint, config })
    }

    /// Uses other credentials for new connections.
    ///
    /// # Errors
    ///
    /// Returns why the credentials can't be used; the previous ones stay in use.
    pub fn replace_credentials(
        &self,
        credentials: &Credentials,
        peers: usize,
    ) -> Result<(), TransportError> {
        let config = credentials.client_config(peers)?;
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = config;
        Ok(())
    }

    /// Connects to a peer within [`limits::CONNECT_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// Returns why the connection failed or the peer is not trusted.
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
/// Returns why the connection failed or the peer is not trusted.
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
