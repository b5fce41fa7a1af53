// Package settings reads the settings of one process, such as its addresses,
// availability zone, logging and deadlines. The services and guarantees of customers
// are configuration, which is published; see package config.
package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"

	"rhubarbshore/internal/config"
)

// ErrInvalid matches every error about the content of a settings file.
var ErrInvalid = errorx.NewType(errorx.NewNamespace("settings"), "invalid").New("the settings are not valid")

// Settings are the settings of one entry VM's daemon.
type Settings struct {
	Name   string `toml:"name"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// Listen is the address to listen on, Address the one that others connect to.
	Listen  string `toml:"listen"`
	Address string `toml:"address"`
	// Log and List are the URLs of the platform's log and of its instance list.
	Log  string `toml:"log"`
	List string `toml:"list"`
	// Peers are other entry VMs, to be contacted while the list is unreachable.
	Peers     []Peer    `toml:"peers"`
	Logging   Logging   `toml:"logging"`
	Deadlines Deadlines `toml:"deadlines"`
	Limits    Limits    `toml:"limits"`
}

// Peer is another entry VM.
type Peer struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
}

// Logging selects what is logged and how.
type Logging struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Deadlines sets the daemon's intervals, timeouts and retention times.
type Deadlines struct {
	// Probe is the interval between probes of peers, Suspect how long the zone's placer
	// may be silent before it counts as failed.
	Probe   config.Duration `toml:"probe"`
	Suspect config.Duration `toml:"suspect"`
	// Term is the term of a running lease, Renew the interval between its renewals, and
	// Hold the term of a lease that is held but not started.
	Term  config.Duration `toml:"term"`
	Renew config.Duration `toml:"renew"`
	Hold  config.Duration `toml:"hold"`
	// Checkpoint is the time that a reclaimed job gets to save its work.
	Checkpoint config.Duration `toml:"checkpoint"`
	// Lost is how long a worker may be silent before its gangs count as lost.
	Lost config.Duration `toml:"lost"`
	// Drift is the most by which clocks may differ over a term.
	Drift config.Duration `toml:"drift"`
	// Poll is the interval at which the configuration is read from the log, Restate the
	// time after which its version is appended to the log again.
	Poll    config.Duration `toml:"poll"`
	Restate config.Duration `toml:"restate"`
	// List is the interval at which the platform's instance list is read.
	List config.Duration `toml:"list"`
	// Ticket is how long a ticket is valid.
	Ticket config.Duration `toml:"ticket"`
	// Keep is how long the log keeps records. Expired claims and replicas of journal
	// records are kept for the same time.
	Keep config.Duration `toml:"keep"`
	// Drain is how long a stopping daemon still admits requests, Stop the time for the
	// whole stop.
	Drain config.Duration `toml:"drain"`
	Stop  config.Duration `toml:"stop"`
}

// Limits bounds the daemon's tables and its concurrent requests.
type Limits struct {
	// Keys and Bytes bound the keys of one owner and the answers kept with them.
	Keys  int `toml:"keys"`
	Bytes int `toml:"bytes"`
	// Claims is the number of claims that are remembered.
	Claims int `toml:"claims"`
	// Callers is the number of requests that are served at once.
	Callers int `toml:"callers"`
}

// Default returns the default settings of an entry VM, without names and addresses.
func Default() Settings {
	return Settings{
		Logging: Logging{Level: "info", Format: "text"},
		Deadlines: Deadlines{
			Probe:      config.Duration(time.Second),
			Suspect:    config.Duration(2500 * time.Millisecond),
			Term:       config.Duration(75 * time.Second),
			Renew:      config.Duration(25 * time.Second),
			Hold:       config.Duration(6 * time.Second),
			Checkpoint: config.Duration(2 * time.Second),
			Lost:       config.Duration(10 * time.Second),
			Drift:      config.Duration(time.Second),
			Poll:       config.Duration(2 * time.Second),
			Restate:    config.Duration(10 * time.Minute),
			List:       config.Duration(2 * time.Second),
			Ticket:     config.Duration(10 * time.Minute),
			Keep:       config.Duration(24 * time.Hour),
			Drain:      config.Duration(2 * time.Second),
			Stop:       config.Duration(time.Minute),
		},
		Limits: Limits{Keys: 200_000, Bytes: 16 << 20, Claims: 200_000, Callers: 20_000},
	}
}

// Load reads a settings file over the defaults.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return Settings{}, errorx.Decorate(err, "settings")
	}
	return Parse(path, string(text))
}

// Parse reads the text of a settings file over the defaults.
func Parse(name, text string) (Settings, error) {
	s := Default()
	d := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, errors.Join(ErrInvalid, errorx.Decorate(withPosition(err), "%s", name))
	}
	return s, s.Check()
}

// withPosition adds the lines and keys to an error of the TOML decoder.
func withPosition(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return errorx.IllegalArgument.New("unknown keys:\n%s", strict.String())
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		return errorx.IllegalArgument.New("%s", syntax.String())
	}
	return err
}

// Check reports all settings that are missing, out of range or inconsistent.
func (s Settings) Check() error {
	var problems []string
	require := func(ok bool, text string) {
		if !ok {
			problems = append(problems, text)
		}
	}
	require(s.Name != "" && !strings.ContainsAny(s.Name, ".~"), "name: a name without . and ~ is needed")
	require(s.Zone != "", "zone: the availability zone is needed")
	require(s.Listen != "", "listen: an address to listen on is needed")
	require(s.Address != "", "address: the address that others use is needed")
	require(s.Log != "", "log: the URL of the platform's log is needed")
	require(s.List != "", "list: the URL of the platform's list is needed")
	d := s.Deadlines
	require(d.Renew > 0 && 2*d.Renew <= d.Term, "deadlines.renew: above 0, at most half of deadlines.term")
	require(d.Lost+d.Renew+d.Drift < d.Term, "deadlines.lost: with renew and drift it must be below deadlines.term")
	require(d.Hold >= config.Duration(2*time.Second), "deadlines.hold: at least 2s")
	require(d.Probe > 0 && d.Suspect >= 2*d.Probe, "deadlines.suspect: at least twice deadlines.probe")
	require(d.Keep >= 2*d.Ticket, "deadlines.keep: at least twice deadlines.ticket")
	require(s.Limits.Keys > 0 && s.Limits.Claims > 0 && s.Limits.Callers > 0, "limits: all above 0")
	if len(problems) == 0 {
		return nil
	}
	return errors.Join(ErrInvalid, errorx.IllegalArgument.New("%s", strings.Join(problems, "\n")))
}
