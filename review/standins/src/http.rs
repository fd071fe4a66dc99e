//! Small HTTP/1.1 server and client on blocking sockets. They write and read exact bytes, so that a
//! case controls what is sent on a connection and when.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// One request as a server received it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header; names are in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

fn find<'list>(headers: &'list [(String, String)], name: &str) -> Option<&'list str> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

/// Connection of a server to one caller.
pub struct Connection {
    stream: TcpStream,
    /// Bytes of the latest answer.
    pub latest: Vec<u8>,
}

impl Connection {
    /// Writes bytes as they are.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a complete answer with a length.
    pub fn answer(
        &mut self,
        status: u16,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut bytes = head(status, headers).into_bytes();
        let length = format!("content-length: {}\r\n\r\n", body.len());
        bytes.extend_from_slice(length.as_bytes());
        bytes.extend_from_slice(body);
        self.latest = bytes.clone();
        self.write(&bytes)
    }

    /// Begins an answer whose body is sent in chunks.
    pub fn begin_chunks(&mut self, status: u16, headers: &[(&str, String)]) -> io::Result<()> {
        let head = head(status, headers) + "transfer-encoding: chunked\r\n\r\n";
        self.write(head.as_bytes())
    }

    /// Writes a chunk; an empty one ends the body.
    pub fn chunk(&mut self, data: &str) -> io::Result<()> {
        let text = format!("{:x}\r\n{data}\r\n", data.len());
        self.write(text.as_bytes())
    }
}

fn head(status: u16, headers: &[(&str, String)]) -> String {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text
}

/// Handles one request. An error closes the connection.
pub type Handler = dyn Fn(&Request, &mut Connection) -> io::Result<()> + Send + Sync;

/// Listens at an address, whose port may be 0, and serves each connection on a thread of its own.
pub fn serve(address: SocketAddr, handler: Arc<Handler>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    Ok(bound)
}

fn serve_connection(stream: TcpStream, handler: &Arc<Handler>) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    let mut connection = Connection {
        stream,
        latest: Vec::new(),
    };
    while let Ok(Some(request)) = read_request(&mut reader) {
        if handler(&request, &mut connection).is_err() {
            return;
        }
    }
}

/// First line of a message, and its headers.
type Head = (String, Vec<(String, String)>);

/// Reads the head of a message; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body that is sent in chunks, and reports each chunk.
fn read_chunks(reader: &mut impl BufRead, mut each: impl FnMut(&[u8])) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim_end(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut data = vec![0; size + 2];
        reader.read_exact(&mut data)?;
        if size == 0 {
            return Ok(body);
        }
        each(&data[..size]);
        body.extend_from_slice(&data[..size]);
    }
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
    let body = match length {
        Some(length) => {
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            body
        }
        None if find(&headers, "transfer-encoding").is_some() => read_chunks(reader, |_| {})?,
        None => Vec::new(),
    };
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    }))
}

/// Answer as a consumer received it.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    /// 0 if the channel ended without an answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer ended as complete.
    pub is_complete: bool,
}

impl Answer {
    /// Returns the value of a header; names are in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Opens a channel.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    Ok(stream)
}

/// Sends a request on an open channel and reads the answer.
pub fn exchange(stream: &mut TcpStream, request: &str) -> Answer {
    if stream.write_all(request.as_bytes()).is_err() {
        return Answer::default();
    }
    read_answer(stream)
}

fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut answer = Answer::default();
    let mut reader = BufReader::new(stream);
    let Ok(Some((first, headers))) = read_head(&mut reader) else {
        return answer;
    };
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    answer.status = status.unwrap_or_default();
    answer.headers = headers;
    let length: Option<usize> = answer.header("content-length").and_then(|t| t.parse().ok());
    let is_chunked = answer.header("transfer-encoding").is_some();
    let mut body = Vec::new();
    answer.is_complete = match (length, is_chunked) {
        (_, true) => read_chunks(&mut reader, |chunk| body.extend_from_slice(chunk)).is_ok(),
        (Some(length), false) => {
            body.resize(length, 0);
            reader.read_exact(&mut body).is_ok()
        }
        (None, false) => reader.read_to_end(&mut body).is_ok(),
    };
    answer.body = body;
    answer
}
