package daemon

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"rhubarbspread/core/kern"
	"rhubarbspread/io/peer"
)

// Config is the settings of a node.
type Config struct {
	Node        string
	DataCentre  string
	Environment string
	Callers     string // IP:port
	Peers       string // IP:port
	Admin       string // IP:port
	Table       string // IP:port of the platform's table service
	Objects     string // IP:port of the platform's object store
	List        string // IP:port of the platform's list
	Policy      string
	Secret      string // shared by all nodes
	AdminKey    string
}

// ConfigError lists every fault of a node's settings.
type ConfigError struct{ faults []string }

// Error returns the faults, one a line.
func (e *ConfigError) Error() string { return "settings:\n  " + strings.Join(e.faults, "\n  ") }

// EnvPrefix begins the names of all environment variables.
const EnvPrefix = "RHUBARBSPREAD"

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func (e *ConfigError) addf(flag, format string, args ...any) {
	e.faults = append(e.faults, fmt.Sprintf("-%s (%s): %s", flag, EnvName(flag), fmt.Sprintf(format, args...)))
}

func (e *ConfigError) addSecret(flag, text string) {
	e.faults = append(e.faults, fmt.Sprintf("%s: %s", EnvName(flag), text))
}

const minAdminKey = 12

var nameRule = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Validate returns a *ConfigError with every fault, or nil.
func (c *Config) Validate() error {
	e := &ConfigError{}
	for _, named := range []struct{ flag, value string }{
		{"node", c.Node}, {"data-centre", c.DataCentre}, {"environment", c.Environment},
	} {
		if !nameRule.MatchString(named.value) {
			e.addf(named.flag, "%q is not a name (a-z, 0-9, hyphen, at most 63)", named.value)
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
	if len(c.AdminKey) < minAdminKey {
		e.addSecret("admin-key", fmt.Sprintf("needs at least %d bytes", minAdminKey))
	}
	if len(e.faults) > 0 {
		return e
	}
	return nil
}

// checkAddress returns what is wrong with an IP:port, or "".
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
