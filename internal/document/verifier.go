package document

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"
)

const (
	verifierPrefix = "SCRAM-SHA-256$"
	// defaultIterations is the minimum that RFC 7677 requires and the
	// PostgreSQL default.
	defaultIterations = 4096
	// maxIterations limits the work that a login costs the caller.
	maxIterations = 1_000_000
	saltSize      = 16
	maxSaltSize   = 64
)

var errNotVerifier = errors.New("not a SCRAM-SHA-256 verifier")

// NewVerifier returns the verifier of a password with a new random salt.
func NewVerifier(password string) (string, error) {
	return NewVerifierFrom(rand.Reader, password)
}

// NewVerifierFrom returns the verifier of a password with a salt read from
// random.
func NewVerifierFrom(random io.Reader, password string) (string, error) {
	salt := make([]byte, saltSize)
	if _, err := io.ReadFull(random, salt); err != nil {
		return "", fmt.Errorf("document: salt: %w", err)
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", fmt.Errorf("document: password: %w", err)
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: defaultIterations})
	if err != nil {
		return "", fmt.Errorf("document: verifier: %w", err)
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s%d:%s$%s:%s", verifierPrefix, defaultIterations, encode(salt),
		encode(c.StoredKey), encode(c.ServerKey)), nil
}

// ParseVerifier returns the credentials that a SCRAM server needs to check a
// password.
func ParseVerifier(text string) (scram.StoredCredentials, error) {
	var none scram.StoredCredentials
	rest, ok := strings.CutPrefix(text, verifierPrefix)
	factors, keys, hasKeys := strings.Cut(rest, "$")
	if !ok || !hasKeys {
		return none, errNotVerifier
	}
	count, encodedSalt, _ := strings.Cut(factors, ":")
	iterations, err := strconv.Atoi(count)
	if err != nil || iterations < defaultIterations || iterations > maxIterations {
		return none, fmt.Errorf("%w: iterations", errNotVerifier)
	}
	salt, err := base64.StdEncoding.DecodeString(encodedSalt)
	if err != nil || len(salt) == 0 || len(salt) > maxSaltSize {
		return none, fmt.Errorf("%w: salt", errNotVerifier)
	}
	encodedStored, encodedServer, _ := strings.Cut(keys, ":")
	stored, err := decodeKey(encodedStored)
	if err != nil {
		return none, fmt.Errorf("%w: stored key", errNotVerifier)
	}
	server, err := decodeKey(encodedServer)
	if err != nil {
		return none, fmt.Errorf("%w: server key", errNotVerifier)
	}
	return scram.StoredCredentials{KeyFactors: scram.KeyFactors{Salt: string(salt), Iters: iterations},
		StoredKey: stored, ServerKey: server}, nil
}

func decodeKey(text string) ([]byte, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	if len(key) != sha256.Size {
		return nil, errNotVerifier
	}
	return key, nil
}

// verifierKind validates a SCRAM-SHA-256 verifier; its value is a string.
type verifierKind struct{}

// Parse implements inifile.ValueType.
func (verifierKind) Parse(text string) (any, error) {
	if _, err := ParseVerifier(text); err != nil {
		return "", err
	}
	return text, nil
}

// Allowed implements inifile.ValueType.
func (verifierKind) Allowed() string {
	return fmt.Sprintf("%siterations:salt$storedkey:serverkey with %d to %d iterations",
		verifierPrefix, defaultIterations, maxIterations)
}
