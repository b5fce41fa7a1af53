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

// secretSize is the length of a minter's secret and macSize the length of a ticket's
// message authentication code, both in bytes. ticketParts is the number of parts of a
// ticket.
const (
	secretSize  = 32
	macSize     = 16
	ticketParts = 4
)

// ErrTicket is returned for a string that is not a valid ticket of this owner.
var ErrTicket = errorx.NewType(namespace, "ticket").New("not a ticket of this owner")

// Owner returns the name of one process of a VM. A restarted VM is a different owner.
func Owner(vm string, incarnation int64) string { return fmt.Sprintf("%s~%d", vm, incarnation) }

// ParseOwner returns the VM and the incarnation of an owner's name.
func ParseOwner(owner string) (string, int64, error) {
	vm, digits, _ := strings.Cut(owner, "~")
	incarnation, err := strconv.ParseInt(digits, 10, 64)
	if vm == "" || err != nil {
		return "", 0, ErrTicket
	}
	return vm, incarnation, nil
}

// Minter creates and verifies the tickets of one owner. A ticket has the form
// owner.counter.deadline.mac, with the deadline in Unix milliseconds.
type Minter struct {
	owner   string
	secret  []byte
	counter atomic.Uint64
}

// NewMinter returns a minter. If secret is nil it generates one.
func NewMinter(owner string, secret []byte) (*Minter, error) {
	if secret == nil {
		secret = make([]byte, secretSize)
		if _, err := rand.Read(secret); err != nil {
			return nil, errorx.Decorate(err, "secret")
		}
	}
	return &Minter{owner: owner, secret: secret}, nil
}

// Owner returns the owner that is named in the tickets.
func (m *Minter) Owner() string { return m.owner }

// Secret returns the secret, which a successor needs to verify this owner's tickets.
func (m *Minter) Secret() []byte { return m.secret }

// Mint creates a ticket that is valid until the deadline.
func (m *Minter) Mint(deadline time.Time) string {
	payload := fmt.Sprintf("%s.%d.%d", m.owner, m.counter.Add(1), deadline.UnixMilli())
	return payload + "." + m.mac(payload)
}

func (m *Minter) mac(payload string) string {
	h := hmac.New(sha256.New, m.secret)
	_, _ = h.Write([]byte(payload))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macSize])
}

// Verify checks that this minter created the ticket and returns its deadline.
func (m *Minter) Verify(ticket string) (time.Time, error) {
	i := strings.LastIndexByte(ticket, '.')
	if i < 0 || !hmac.Equal([]byte(m.mac(ticket[:i])), []byte(ticket[i+1:])) {
		return time.Time{}, ErrTicket
	}
	return DeadlineOf(ticket)
}

// DeadlineOf returns the deadline of a ticket, without verifying the ticket.
func DeadlineOf(ticket string) (time.Time, error) {
	parts := strings.Split(ticket, ".")
	if len(parts) != ticketParts {
		return time.Time{}, ErrTicket
	}
	millis, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return time.Time{}, ErrTicket
	}
	return time.UnixMilli(millis), nil
}

// OwnerOf returns the owner named in a ticket, without verifying the ticket.
func OwnerOf(ticket string) (string, error) {
	owner, _, ok := strings.Cut(ticket, ".")
	if !ok || owner == "" {
		return "", ErrTicket
	}
	return owner, nil
}
