package workspace

import (
	"crypto/sha256"
	"encoding/base64"
)

// digestSize is the length of a KeyDigest in bytes. Keys are random words of about 100 bits:
// their 128-bit digests do not collide, and a key cannot be recovered from its digest.
const digestSize = 16

// KeyDigest represents a key everywhere except in the session that received it from the caller.
type KeyDigest [digestSize]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:digestSize])
}

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	var buffer [digestSize + 2]byte
	n, err := base64.RawURLEncoding.Decode(buffer[:], text)
	if err != nil {
		return err
	}
	if n != digestSize {
		return errDigestLength
	}
	copy(d[:], buffer[:digestSize])
	return nil
}
