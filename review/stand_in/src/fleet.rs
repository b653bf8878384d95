//! Starts the project's processes with the deploy file's command, each at loopback addresses of
//! its own, with settings filled from the project's template.

use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path as FilePath, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Backend;
use crate::store::{Path, Store};

pub const SERVICE: &str = "raspored";
/// A second service, to which a route moves.
pub const OTHER_SERVICE: &str = "prirucnik";
pub const ZONES: [&str; 4] = ["split", "hvar", "brac", "vis"];
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
const METRICS_PORT: u16 = 9_464;
const TEMPLATE: &str = "platform/settings.yaml.tmpl";
const PROGRAM: &str = "target/release/plantainquayd";

/// Addresses of one run.
#[derive(Clone, Copy)]
pub struct Net {
    octet: u8,
    first_port: u16,
}

impl Net {
    /// Chooses addresses that differ between the fleets of one run.
    pub fn choose(number: u32) -> Self {
        let pid = std::process::id() + number * 13;
        for attempt in 0..200 {
            let net = Self {
                octet: (1 + (pid + attempt) % 250) as u8,
                first_port: 20_000 + ((pid + attempt * 7) % 1_000) as u16 * 10,
            };
            let is_free =
                (0..10).all(|i| UdpSocket::bind((net.client_ip(), net.first_port + i)).is_ok());
            // The port of the template's metrics is the same on every machine.
            let metrics = (Ipv4Addr::new(127, net.octet, 1, 1), METRICS_PORT);
            if is_free && TcpListener::bind(metrics).is_ok() {
                return net;
            }
        }
        panic!("no free ports");
    }

    fn client_ip(self) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octet, 50, 1)
    }

    pub fn client(self) -> SocketAddrV4 {
        SocketAddrV4::new(self.client_ip(), self.first_port)
    }
}

/// A machine with one process of the system.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub store_path: Arc<Path>,
    pub backend: Option<Backend>,
    service: &'static str,
    net: Net,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Machine {
    pub fn data_addr(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.net.first_port)
    }

    pub fn app(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.net.first_port + 2)
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddrV4::new(self.ip, self.net.first_port + 1);
        let Ok(mut stream) =
            TcpStream::connect_timeout(&address.into(), Duration::from_millis(300))
        else {
            return false;
        };
        let _result = stream.set_read_timeout(Some(Duration::from_millis(300)));
        let request =
            format!("GET /ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        let _result = stream.write_all(request.as_bytes());
        let mut head = [0; 12];
        stream.read_exact(&mut head).is_ok() && &head == b"HTTP/1.1 200"
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _status = Command::new("kill").args([name, &pid]).status();
    }
}

impl Machine {
    /// Returns true if the process has ended; it is started again, as the platform does.
    pub fn restart_if_ended(&mut self) -> bool {
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended {
            self.child = spawn(&self.settings, &self.log);
        }
        has_ended
    }

    /// Returns the last line that the process has written.
    pub fn last_log_line(&self) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let line = log.lines().last().unwrap_or_default();
        let (_, line) = line.rsplit_once(".yaml: ").unwrap_or(("", line));
        line.to_owned()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _result = self.child.kill();
        let _status = self.child.wait();
    }
}

pub struct Fleet {
    pub net: Net,
    pub store: Store,
    pub fronts: Vec<Machine>,
    pub sides: Vec<Machine>,
    /// `grace_s`, one of the bounds in the settings.
    pub grace_s: &'static str,
    dir: PathBuf,
    boots: u32,
}

impl Fleet {
    pub fn new(number: u32) -> Self {
        let name = format!("plantainquay-review-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).expect("a temporary folder");
        Self {
            net: Net::choose(number),
            store: Store::default(),
            fronts: Vec::new(),
            sides: Vec::new(),
            grace_s: "6",
            dir,
            boots: 0,
        }
    }

    pub fn client(&self) -> crate::client::Client {
        crate::client::Client::start(self.net.client())
    }

    pub fn add_front(&mut self) {
        let number = self.fronts.len() as u8 + 1;
        let machine = self.start(1, number, "balancer", None);
        self.fronts.push(machine);
    }

    /// Starts the machine of a backend with its node; the backend registers later.
    pub fn add_side(&mut self, service: &'static str) {
        let number = self.sides.len() as u8 + 1;
        let machine = self.start(2, number, "agent", Some(service));
        self.sides.push(machine);
    }

    /// Starts the backend of a side machine.
    pub fn start_backend(&mut self, side: usize) {
        let machine = &mut self.sides[side];
        let outbound = SocketAddrV4::new(machine.ip, machine.net.first_port + 3);
        machine.backend = Some(Backend::start(side as u8 + 1, machine.app(), outbound));
    }

    /// Registers the backend of a side machine; returns its id.
    pub fn register_backend(&mut self, side: usize) -> String {
        self.boots += 1;
        let id = format!("i-{:04x}", 0x1000 + self.boots);
        self.put_entry(side, &id, "ready", 1);
        id
    }

    pub fn put_entry(&self, side: usize, id: &str, state: &str, seq: u64) {
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":2,"state":"{state}","cold_left_ms":0,"seq":{seq},"born":{}}}"#,
            self.sides[side].service,
            self.sides[side].app(),
            ZONES[side % ZONES.len()],
            crate::unix_ms()
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// The operator's config: the routes of these ports, all to one service.
    pub fn put_config(&self, version: u64, ports: &[u16], service: &str) {
        let routes: Vec<String> = ports
            .iter()
            .map(|port| {
                format!(
                    r#"{{"name":"r-{port}","host":"198.18.0.1","prefix":"/{port}/","kind":"unsafe","timeout_ms":600,"target_latency_ms":120,"priority":1,"service":"{service}","attempts":2}}"#
                )
            })
            .collect();
        let config = format!(
            r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_conns":2000,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
            routes.join(",")
        );
        self.store.put("op/config", &config);
    }

    /// Waits until every process that serves clients is ready.
    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            let machines = self.fronts.iter().chain(&self.sides);
            if machines.into_iter().all(Machine::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Side machines whose processes have watched the store lately.
    pub fn readers(&self) -> Vec<usize> {
        let is_reader = |side: &usize| {
            self.sides[*side]
                .store_path
                .has_watched_within(Duration::from_millis(1_500))
        };
        (0..self.sides.len()).filter(is_reader).collect()
    }

    fn start(&self, group: u8, number: u8, role: &str, service: Option<&'static str>) -> Machine {
        let Net { octet, first_port } = self.net;
        let ip = Ipv4Addr::new(127, octet, group, number);
        let store_address = SocketAddrV4::new(
            Ipv4Addr::new(127, octet, 100 + group, number),
            first_port + 9,
        );
        let name = format!(
            "{}-{number}",
            if service.is_some() { "side" } else { "front" }
        );
        let store_path = self.store.serve_machine(store_address);
        let zone = ZONES[usize::from(number - 1) % ZONES.len()];
        let text = settings(
            role,
            &name,
            zone,
            ip,
            first_port,
            store_address,
            service,
            self.grace_s,
        );
        let settings = self.dir.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("the settings are written");
        let log = self.dir.join(format!("{name}.log"));
        Machine {
            name,
            ip,
            store_path,
            backend: None,
            service: service.unwrap_or_default(),
            net: self.net,
            child: spawn(&settings, &log),
            settings,
            log,
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.fronts.clear();
        self.sides.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _result = fs::remove_dir_all(&self.dir);
        }
    }
}

fn spawn(settings: &FilePath, log: &FilePath) -> Child {
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log file");
    Command::new(PROGRAM)
        .arg("platform")
        .env_clear()
        .envs(std::env::vars().filter(|(name, _)| name == "PATH" || name == "HOME"))
        .env("PLANTAINQUAY_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a second handle"))
        .stderr(log)
        .spawn()
        .expect("the program was built")
}

/// Fills the project's template, as the platform does.
#[expect(clippy::too_many_arguments, reason = "the fields of the settings")]
fn settings(
    role: &str,
    node: &str,
    zone: &str,
    ip: Ipv4Addr,
    first_port: u16,
    store: SocketAddrV4,
    service: Option<&str>,
    grace_s: &str,
) -> String {
    let template = fs::read_to_string(TEMPLATE).expect("the template of the settings");
    let mut text = template.clone();
    if let (Some(start), Some(end)) = (
        template.find("{{#service}}\n"),
        template.find("{{/service}}\n"),
    ) {
        let inner = &template[start + "{{#service}}\n".len()..end];
        let inner = if service.is_some() { inner } else { "" };
        text = format!(
            "{}{inner}{}",
            &template[..start],
            &template[end + "{{/service}}\n".len()..]
        );
    }
    let at = |offset: u16| SocketAddrV4::new(ip, first_port + offset).to_string();
    let fields = [
        ("role", role.to_owned()),
        ("node", node.to_owned()),
        ("zone", zone.to_owned()),
        ("listen.data_addr", at(0)),
        ("listen.ready", at(1)),
        ("listen.outbound", at(3)),
        ("app", at(2)),
        ("service", service.unwrap_or_default().to_owned()),
        ("internal_port_range.0", (first_port + 4).to_string()),
        ("platform.address", store.to_string()),
        ("limits.cores", "1".to_owned()),
        ("bounds.grace_s", grace_s.to_owned()),
        ("bounds.flow_ttl_s", "60".to_owned()),
        ("bootstrap", "true".to_owned()),
    ];
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    assert!(
        !text.contains("{{"),
        "a field of the template isn't filled: {text}"
    );
    text
}
