package idempotency

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// secretSize is the length of a minter's secret, and macSize that of a
// ticket's authentication code, both in bytes.
const (
	secretSize = 32
	macSize    = 16
)

// ErrTicket is returned for a text that is no ticket of this home.
var ErrTicket = errorx.NewType(namespace, "ticket").New("not a ticket of this home")

// Home names one process of a VM: a restarted VM is another home.
func Home(vm string, incarnation int64) string { return fmt.Sprintf("%s~%d", vm, incarnation) }

// Minter makes and verifies the tickets of one home. A ticket reads
// home.counter.deadline.code, the deadline in Unix milliseconds.
type Minter struct {
	home    string
	secret  []byte
	counter atomic.Uint64
}

// NewMinter returns a minter. Without a secret it makes one up.
func NewMinter(home string, secret []byte) (*Minter, error) {
	if secret == nil {
		secret = make([]byte, secretSize)
		if _, err := rand.Read(secret); err != nil {
			return nil, errorx.Decorate(err, "secret")
		}
	}
	return &Minter{home: home, secret: secret}, nil
}

// Home returns the home that the tickets name.
func (m *Minter) Home() string { return m.home }

// Secret returns the secret, for handing the home over.
func (m *Minter) Secret() []byte { return m.secret }

// Mint makes a ticket that is good until the deadline.
func (m *Minter) Mint(deadline time.Time) string {
	text := fmt.Sprintf("%s.%d.%d", m.home, m.counter.Add(1), deadline.UnixMilli())
	return text + "." + m.code(text)
}

func (m *Minter) code(text string) string {
	h := hmac.New(sha256.New, m.secret)
	_, _ = h.Write([]byte(text))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macSize])
}

// Verify checks that this minter made the ticket and returns its deadline.
func (m *Minter) Verify(ticket string) (time.Time, error) {
	i := strings.LastIndexByte(ticket, '.')
	if i < 0 || !hmac.Equal([]byte(m.code(ticket[:i])), []byte(ticket[i+1:])) {
		return time.Time{}, ErrTicket
	}
	j := strings.LastIndexByte(ticket[:i], '.')
	millis, err := strconv.ParseInt(ticket[j+1:i], 10, 64)
	if err != nil {
		return time.Time{}, ErrTicket
	}
	return time.UnixMilli(millis), nil
}

// HomeOf returns the home that a ticket names, unverified.
func HomeOf(ticket string) (string, error) {
	home, _, ok := strings.Cut(ticket, ".")
	if !ok || home == "" {
		return "", ErrTicket
	}
	return home, nil
}
