package daemon

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"rhubarbspread/core/kern"
	"rhubarbspread/io/peer"
)

// Config holds the settings of a node.
type Config struct {
	Node        string
	DataCentre  string
	Environment string
	Callers     string // IP:port to listen on for callers
	Peers       string // IP:port to listen on for other nodes
	Admin       string // IP:port to listen on for operators
	Table       string // IP:port of the platform's table service
	Objects     string // IP:port of the platform's object store
	List        string // IP:port of the platform's list of VMs
	Policy      string // name of the routing policy
	Secret      string // shared by all nodes, which authenticate each other by it
	AdminKey    string // bearer key of the admin interface
}

// ConfigError lists all invalid settings of a node.
type ConfigError struct{ faults []string }

// Error returns the faults, one per line.
func (e *ConfigError) Error() string { return "settings:\n  " + strings.Join(e.faults, "\n  ") }

// EnvPrefix is the prefix of all environment variables.
const EnvPrefix = "RHUBARBSPREAD"

// EnvName returns the environment variable that corresponds to a flag.
func EnvName(flag string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func (e *ConfigError) addf(flag, format string, args ...any) {
	e.faults = append(e.faults, fmt.Sprintf("-%s (%s): %s", flag, EnvName(flag), fmt.Sprintf(format, args...)))
}

func (e *ConfigError) addSecret(flag, text string) {
	e.faults = append(e.faults, fmt.Sprintf("%s: %s", EnvName(flag), text))
}

// minAdminKeyBytes is the minimum length of the admin key.
const minAdminKeyBytes = 12

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Validate returns a *ConfigError that lists all faults, or nil.
func (c *Config) Validate() error {
	e := &ConfigError{}
	for _, name := range []struct{ flag, value string }{
		{"node", c.Node}, {"data-centre", c.DataCentre}, {"environment", c.Environment},
	} {
		if !namePattern.MatchString(name.value) {
			e.addf(name.flag, "%q is not a name (a-z, 0-9, hyphen, at most 63)", name.value)
		}
	}
	for _, address := range []struct {
		flag, value string
		listen      bool
	}{
		{"callers", c.Callers, true}, {"peers", c.Peers, true}, {"admin", c.Admin, true},
		{"table", c.Table, false}, {"objects", c.Objects, false}, {"list", c.List, false},
	} {
		if fault := checkAddress(address.value, address.listen); fault != "" {
			e.addf(address.flag, "%s", fault)
		}
	}
	if p, ok := kern.FindPlugin(c.Policy); !ok || p.Doc.Kind != kern.PolicyKind {
		e.addf("policy", "no routing policy %q; see explain", c.Policy)
	}
	if len(c.Secret) < peer.MinSecretBytes {
		e.addSecret("secret", fmt.Sprintf("needs at least %d bytes, the same on every node", peer.MinSecretBytes))
	}
	if len(c.AdminKey) < minAdminKeyBytes {
		e.addSecret("admin-key", fmt.Sprintf("needs at least %d bytes", minAdminKeyBytes))
	}
	if len(e.faults) > 0 {
		return e
	}
	return nil
}

// checkAddress returns the fault of an IP:port, or "". Port 0 and an unspecified IP are valid only to listen on.
func checkAddress(value string, listen bool) string {
	if value == "" {
		return "is missing; wants IP:port"
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		return fmt.Sprintf("%q is not IP:port; a host name is not taken, nodes talk by IP numbers", value)
	}
	if !listen && a.Port() == 0 {
		return "has port 0, which nobody can reach"
	}
	if !listen && a.Addr().IsUnspecified() {
		return fmt.Sprintf("%s is no address to reach", a.Addr())
	}
	return ""
}
