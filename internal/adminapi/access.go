package adminapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"

	"github.com/topazrock/topazrock/internal/result"
)

// access decides who may change something.
type access struct {
	token string
	// sameOrigin refuses browsers: a web page open on the operator's machine
	// could otherwise post to the loopback address and drain the instance.
	sameOrigin *http.CrossOriginProtection
}

// newAccess returns the guard for a token; the empty token means loopback only.
func newAccess(token string) *access {
	return &access{token: token, sameOrigin: http.NewCrossOriginProtection()}
}

// allow returns a *result.Error of code AccessDenied unless r may change something.
func (a *access) allow(r *http.Request) error {
	if err := a.sameOrigin.Check(r); err != nil {
		return result.New(result.AccessDenied, "the call comes from a web page of another origin")
	}
	if a.token == "" {
		return allowLoopback(r)
	}
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || !equalSecret(given, a.token) {
		return result.New(result.AccessDenied, "send the access token as Authorization: Bearer")
	}
	return nil
}

// allowLoopback refuses callers from other machines.
func allowLoopback(r *http.Request) error {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err == nil && net.ParseIP(host).IsLoopback() {
		return nil
	}
	return result.New(result.AccessDenied, "no access token is configured, so changes are taken from loopback only")
}

// equalSecret compares in a time that tells neither content nor length.
func equalSecret(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}
