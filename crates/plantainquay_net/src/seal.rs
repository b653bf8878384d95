//! Signed datagrams between processes.
//!
//! Layout: kind (1 byte), key id (1), signature (8), header length (2, big-endian), header,
//! payload. The signature is SipHash-2-4 under the key over kind, key id and everything after the
//! signature. A datagram with a wrong signature is not decoded.

use plantainquay_schema::{AgentMessage, Key, TunnelError, TunnelHeader, wire};
use prost::Message;
use siphasher::sip::SipHasher24;
use thiserror::Error;

const KIND_TUNNEL: u8 = 1;
const KIND_AGENT: u8 = 2;
const KIND_PEER: u8 = 3;
const SIGNATURE_START: usize = 2;
const SIGNATURE_END: usize = 10;
const PREFIX_BYTES: usize = 12;

/// Signs with the first key and verifies with any of the keys.
#[derive(Clone, Debug)]
pub struct Sealer {
    keys: Vec<Key>,
}

/// A datagram with a valid signature.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VerifiedDatagram<'a> {
    /// A packet in the tunnel.
    Tunnel(TunnelHeader, &'a [u8]),
    /// A message between agents.
    Agent(AgentMessage),
}

/// An error of signing or of verifying a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum SealError {
    /// The datagram ends within its header.
    #[error("truncated datagram")]
    Truncated,
    /// No key has the datagram's key id.
    #[error("unknown key id {0}")]
    UnknownKey(u8),
    /// The signature doesn't match the content.
    #[error("signature mismatch")]
    WrongSignature,
    /// The datagram's kind is unknown.
    #[error("unknown datagram kind {0}")]
    UnknownKind(u8),
    /// The header can't be decoded.
    #[error("malformed header: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The header is decoded but invalid.
    #[error("invalid header: {0}")]
    Header(#[from] TunnelError),
    /// The list of keys is empty.
    #[error("no key to sign with")]
    NoKey,
}

impl Sealer {
    /// Creates a sealer that signs with the first of `keys`.
    ///
    /// # Errors
    ///
    /// Fails when there is no key.
    pub fn new(keys: &[Key]) -> Result<Self, SealError> {
        if keys.is_empty() {
            return Err(SealError::NoKey);
        }
        Ok(Self {
            keys: keys.to_vec(),
        })
    }

    /// Writes a signed tunnel datagram into `buf`, which is cleared first.
    pub fn seal_tunnel(&self, header: &TunnelHeader, packet: &[u8], buf: &mut Vec<u8>) {
        self.seal(
            KIND_TUNNEL,
            &wire::tunnel::TunnelHeader::from(header),
            packet,
            buf,
        );
    }

    /// Writes a signed message into `buf`, which is cleared first.
    pub fn seal_agent(&self, message: &AgentMessage, buf: &mut Vec<u8>) {
        self.seal(
            KIND_AGENT,
            &wire::peer::AgentMessage::from(message),
            &[],
            buf,
        );
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails when the datagram is malformed or its signature is wrong.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<VerifiedDatagram<'a>, SealError> {
        match self.verify(datagram)? {
            (KIND_TUNNEL, header, payload) => {
                let header = wire::tunnel::TunnelHeader::decode(header)?;
                Ok(VerifiedDatagram::Tunnel(header.try_into()?, payload))
            }
            (KIND_AGENT, header, _) => {
                let message = wire::peer::AgentMessage::decode(header)?;
                Ok(VerifiedDatagram::Agent(message.try_into()?))
            }
            (kind, ..) => Err(SealError::UnknownKind(kind)),
        }
    }

    /// Returns kind, header and payload of a datagram if its signature is valid.
    fn verify<'a>(&self, datagram: &'a [u8]) -> Result<(u8, &'a [u8], &'a [u8]), SealError> {
        let (prefix, rest) = datagram
            .split_at_checked(PREFIX_BYTES)
            .ok_or(SealError::Truncated)?;
        let key = self.keys.iter().find(|key| key.id.0 == prefix[1]);
        let key = key.ok_or(SealError::UnknownKey(prefix[1]))?;
        if prefix[SIGNATURE_START..SIGNATURE_END] != sign(key, datagram) {
            return Err(SealError::WrongSignature);
        }
        let header_bytes = usize::from(u16::from_be_bytes([prefix[10], prefix[11]]));
        let (header, payload) = rest
            .split_at_checked(header_bytes)
            .ok_or(SealError::Truncated)?;
        Ok((prefix[0], header, payload))
    }

    /// Signs a message of a remote call.
    pub fn seal_peer(&self, message: &impl Message) -> wire::peer::Sealed {
        let mut datagram = Vec::new();
        // The header's 16-bit length is too short for a document, so the message is the payload.
        self.seal(KIND_PEER, &(), &message.encode_to_vec(), &mut datagram);
        wire::peer::Sealed { datagram }
    }

    /// Verifies and decodes a signed message of a remote call.
    ///
    /// # Errors
    ///
    /// Fails when the message is malformed or its signature is wrong.
    pub fn open_peer<M: Message + Default>(
        &self,
        sealed: &wire::peer::Sealed,
    ) -> Result<M, SealError> {
        match self.verify(&sealed.datagram)? {
            (KIND_PEER, _, payload) => Ok(M::decode(payload)?),
            (kind, ..) => Err(SealError::UnknownKind(kind)),
        }
    }

    fn seal(&self, kind: u8, header: &impl Message, payload: &[u8], buf: &mut Vec<u8>) {
        let key = &self.keys[0];
        buf.clear();
        buf.extend_from_slice(&[kind, key.id.0]);
        buf.extend_from_slice(&[0; SIGNATURE_END - SIGNATURE_START]);
        let header_bytes = u16::try_from(header.encoded_len()).unwrap_or(u16::MAX);
        buf.extend_from_slice(&header_bytes.to_be_bytes());
        let encoded = header.encode(buf);
        debug_assert!(encoded.is_ok(), "a vector has room for any header");
        buf.extend_from_slice(payload);
        let signature = sign(key, buf);
        buf[SIGNATURE_START..SIGNATURE_END].copy_from_slice(&signature);
    }
}

fn sign(key: &Key, datagram: &[u8]) -> [u8; SIGNATURE_END - SIGNATURE_START] {
    let hasher = SipHasher24::new_with_key(&key.secret);
    let signed = [&datagram[..SIGNATURE_START], &datagram[SIGNATURE_END..]];
    hash_parts(hasher, signed).to_le_bytes()
}

fn hash_parts(mut hasher: SipHasher24, parts: [&[u8]; 2]) -> u64 {
    use std::hash::Hasher;
    for part in parts {
        hasher.write(part);
    }
    hasher.finish()
}
