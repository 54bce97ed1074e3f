package workspace

import (
	"crypto/sha256"
	"encoding/base64"
)

// digestSize is the length of a KeyDigest in bytes. Keys are random words of some 100 bits,
// so that no two meet in 128 bits, and none is found from its digest.
const digestSize = 16

// KeyDigest stands for a key everywhere but in the session that the caller sent it to.
type KeyDigest [digestSize]byte

// Digest returns the digest of a key.
func Digest(key string) KeyDigest {
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
