//! A stand-in of the platform's store, with one address for each machine that reads it.
//!
//! The path of one machine to the store can be cut silently; the others are served.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    history: Vec<(u64, String, Option<Vec<u8>>)>,
}

/// The path of one machine to the store.
pub struct Path {
    cut: AtomicBool,
    last_watch: Mutex<Option<Instant>>,
}

impl Path {
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    /// Returns true if the machine has watched the store in the last `time`.
    pub fn has_watched_within(&self, time: Duration) -> bool {
        self.last_watch
            .lock()
            .unwrap()
            .is_some_and(|at| at.elapsed() < time)
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    /// Serves one machine at `address`.
    pub fn serve_machine(&self, address: SocketAddrV4) -> Arc<Path> {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let path = Arc::new(Path {
            cut: AtomicBool::new(false),
            last_watch: Mutex::new(None),
        });
        let (store, shared_path) = (self.clone(), Arc::clone(&path));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, path) = (store.clone(), Arc::clone(&shared_path));
                thread::spawn(move || store.serve(stream, &path));
            }
        });
        path
    }

    /// Writes an item; the return is the ack.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value.as_bytes().to_vec()));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) {
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        content
            .history
            .push((revision, key.to_owned(), value.clone()));
        match value {
            Some(value) => content.items.insert(key.to_owned(), (revision, value)),
            None => content.items.remove(key),
        };
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream, path: &Path) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _result = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
            while !line.trim_end().is_empty() {
                line.clear();
                if reader.read_line(&mut line).unwrap_or(0) == 0 {
                    return;
                }
            }
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&target, path);
            if path.is_cut() {
                // A connection on which an answer is lost returns nothing further.
                return hold_until_closed(reader);
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer
                .write_all(format!("{head}{body}").as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, target: &str, path: &Path) -> (u16, String) {
        let (call, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        match call {
            "/kv-range" => (200, self.range(&query)),
            "/kv-watch" => {
                if !path.is_cut() {
                    *path.last_watch.lock().unwrap() = Some(Instant::now());
                }
                (200, self.watch(&query))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, query: &HashMap<&str, &str>) -> String {
        let content = self.shared.0.lock().unwrap();
        let prefix = query.get("prefix").copied().unwrap_or_default();
        let items = content
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<String> = items
            .map(|(key, (revision, value))| item(key, *revision, Some(value)))
            .collect();
        let items = items.join(",");
        format!(
            r#"{{"items":[{items}],"has_more":false,"current_rev":{}}}"#,
            content.revision
        )
    }

    fn watch(&self, query: &HashMap<&str, &str>) -> String {
        let number = |name: &str| {
            query
                .get(name)
                .and_then(|n| n.parse().ok())
                .unwrap_or(0_u64)
        };
        let after = number("after");
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        loop {
            let newer = content
                .history
                .iter()
                .filter(|(revision, ..)| *revision > after);
            let events: Vec<String> = newer
                .map(|(revision, key, value)| item(key, *revision, value.as_ref()))
                .collect();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let events = events.join(",");
                return format!(
                    r#"{{"events":[{events}],"current_rev":{}}}"#,
                    content.revision
                );
            }
            content = changed.wait_timeout(content, remaining).unwrap().0;
        }
    }
}

fn hold_until_closed(mut reader: BufReader<TcpStream>) {
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap_or(0) > 0 {
        line.clear();
    }
}

fn item(key: &str, revision: u64, value: Option<&Vec<u8>>) -> String {
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{}","revision":{revision},"created":1,"lease":0}}"#,
            base64(value)
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = (number >> (18 - 6 * digit)) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
