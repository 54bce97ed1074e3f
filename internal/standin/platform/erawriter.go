package platform

import (
	"net/http"
	"strconv"
)

// eraHeader is in every response, refusals included.
const eraHeader = "Store-Era"

// eraWriter adds the store's era, as of the response, to every response.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if !w.begun {
		w.begun = true
		w.Header().Set(eraHeader, strconv.FormatInt(w.store.Era(), 10))
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(body []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(body)
}
