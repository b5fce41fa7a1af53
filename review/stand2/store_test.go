//go:build review2

package stand2

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// readLimit is the most that the store returns in one read, in bytes.
const readLimit = 1024 << 10

// storeFront serves a store's address for one VM. It limits reads as the platform does, and may be slow.
type storeFront struct {
	target string
	delay  *atomic.Int64 // of each answer, in nanoseconds
	client *http.Client
}

// serveStore returns the address of a front of the store at target.
func (s *site) serveStore(target string) string {
	f := &storeFront{target: target, delay: &s.storeDelay, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err)
	go func() { _ = http.Serve(l, f) }()
	return l.Addr().String()
}

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+f.target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp, err := f.client.Do(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/v1/log-read" && resp.StatusCode == http.StatusOK {
		data = limitRead(data)
	}
	time.Sleep(time.Duration(f.delay.Load()))
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(data) // fails only if the caller has gone
}

// limitRead cuts the answer to a read after the last record that is within readLimit.
func limitRead(data []byte) []byte {
	const header = 16
	at := header
	for at+4 <= len(data) {
		next := at + 4 + int(binary.BigEndian.Uint32(data[at:]))
		if next-header > readLimit && at > header {
			break
		}
		at = next
	}
	return data[:min(at, len(data))]
}
