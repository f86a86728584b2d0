package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"rhubarbspread/core/conf"
	"rhubarbspread/io/blob"
	"rhubarbspread/io/table"

	"github.com/google/subcommands"
)

// platformFlags holds the flags of the subcommands that use the platform's stores.
type platformFlags struct {
	table   string
	objects string
	json    bool
}

func (p *platformFlags) setFlags(f *flag.FlagSet) {
	f.StringVar(&p.table, "table", "", "IP:port of the platform's table service")
	f.StringVar(&p.objects, "objects", "", "IP:port of the platform's object store")
	f.BoolVar(&p.json, "json", false, "print JSON")
}

func (p *platformFlags) registry() (*conf.Registry, error) {
	if p.table == "" || p.objects == "" {
		return nil, exitf(exitUsage, "-table and -objects are needed (RHUBARBSPREAD_TABLE, RHUBARBSPREAD_OBJECTS)")
	}
	return conf.NewRegistry(table.New(p.table), blob.New(p.objects)), nil
}

// withChangeExit adds the exit code to an error of the registry.
func withChangeExit(err error) error {
	var change *conf.ChangeError
	if !errors.As(err, &change) {
		return err
	}
	codes := map[conf.ChangeKind]subcommands.ExitStatus{
		conf.Conflict: exitConflict, conf.Unreachable: exitUnreachable, conf.InDoubt: exitUncertain,
	}
	code, ok := codes[change.Kind()]
	if !ok {
		code = exitFailed
	}
	return exitf(code, "%v", change)
}

func documentCommands(out *output) []subcommands.Command {
	var p platformFlags
	var by string
	version := uint64(0)
	digest := ""
	changeFlags := func(f *flag.FlagSet) {
		p.setFlags(f)
		f.StringVar(&by, "by", "", "who makes the change; otherwise the user's name")
	}
	return []subcommands.Command{
		&funcCommand{out: out, name: "check", synopsis: "check a document", usage: "check FILE\n  Reads a document and names every fault.",
			flags: func(*flag.FlagSet) {}, run: func(_ context.Context, args []string) error { return out.check(args) }},
		&funcCommand{out: out, name: "put", synopsis: "make a document an environment's next version",
			usage: "put -version N ENVIRONMENT FILE\n  Fails if the environment's version is no longer N; 0 is an environment without a document.",
			flags: func(f *flag.FlagSet) {
				changeFlags(f)
				f.Uint64Var(&version, "version", 0, "version that the environment has now")
			},
			run: func(ctx context.Context, args []string) error { return out.put(ctx, &p, args, version, userName(by)) }},
		&funcCommand{out: out, name: "show", synopsis: "print an environment's document", usage: "show ENVIRONMENT\n  Prints the version, digest and author to the error output, and the document.",
			flags: p.setFlags, run: func(ctx context.Context, args []string) error { return out.show(ctx, &p, args) }},
		&funcCommand{out: out, name: "diff", synopsis: "compare the documents of two environments", usage: "diff ENVIRONMENT ENVIRONMENT\n  Prints the lines that differ.",
			flags: p.setFlags, run: func(ctx context.Context, args []string) error { return out.diff(ctx, &p, args) }},
		&funcCommand{out: out, name: "history", synopsis: "list an environment's versions", usage: "history ENVIRONMENT",
			flags: p.setFlags, run: func(ctx context.Context, args []string) error { return out.history(ctx, &p, args) }},
		&funcCommand{out: out, name: "promote", synopsis: "make one environment's document another's next version",
			usage: "promote -digest D -version N FROM TO\n  Promotes the document of FROM that has digest D, which show prints, if it still has it and TO is still at\n  version N.",
			flags: func(f *flag.FlagSet) {
				changeFlags(f)
				f.Uint64Var(&version, "version", 0, "version that TO has now")
				f.StringVar(&digest, "digest", "", "digest of FROM's document that was seen")
			},
			run: func(ctx context.Context, args []string) error {
				return out.promote(ctx, &p, args, digest, version, userName(by))
			}},
	}
}

// userName returns the given name, or that of the operating system's user.
func userName(given string) string {
	if given != "" {
		return given
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// readDocument reads a document from a file; the error names all faults of an invalid one.
func readDocument(file string) (*conf.Document, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	d, err := conf.Decode(raw)
	var invalid *conf.Error
	if errors.As(err, &invalid) {
		return nil, exitf(exitFailed, "%s:\n  %s", file, strings.Join(invalid.Faults(), "\n  "))
	}
	return d, err
}

func (o *output) check(args []string) error {
	if err := checkArgumentCount(args, 1, "a file"); err != nil {
		return err
	}
	d, err := readDocument(args[0])
	if err != nil {
		return err
	}
	o.printf("%s is valid, digest %s: %d models, %d services, %d teams\n", args[0], d.Digest(), len(d.Models()), len(d.Services()), len(d.Teams()))
	return nil
}

func (o *output) put(ctx context.Context, p *platformFlags, args []string, version uint64, by string) error {
	if err := checkArgumentCount(args, 2, "an environment and a file"); err != nil {
		return err
	}
	r, err := p.registry()
	if err != nil {
		return err
	}
	d, err := readDocument(args[1])
	if err != nil {
		return err
	}
	rel, err := r.Put(ctx, args[0], d, by, version)
	if err != nil {
		return withChangeExit(err)
	}
	return o.printRelease(p, rel)
}

func (o *output) printRelease(p *platformFlags, rel conf.Release) error {
	if p.json {
		return o.printJSON(rel)
	}
	o.printf("%s is at version %d, digest %s, by %s\n", rel.Environment, rel.Version, rel.Digest, rel.Author)
	return nil
}

func (o *output) printJSON(v any) error { return json.NewEncoder(o.stdout).Encode(v) }

// current returns the release and the document that an environment has now.
func (o *output) current(ctx context.Context, p *platformFlags, environment string) (conf.Release, *conf.Document, error) {
	r, err := p.registry()
	if err != nil {
		return conf.Release{}, nil, err
	}
	rel, err := r.Current(ctx, environment)
	if err != nil {
		return rel, nil, withChangeExit(err)
	}
	if rel.Version == 0 {
		return rel, nil, exitf(exitFailed, "%s has no document", environment)
	}
	d, err := r.Body(ctx, rel.Digest)
	return rel, d, withChangeExit(err)
}

func (o *output) show(ctx context.Context, p *platformFlags, args []string) error {
	if err := checkArgumentCount(args, 1, "an environment"); err != nil {
		return err
	}
	rel, d, err := o.current(ctx, p, args[0])
	if err != nil {
		return err
	}
	fmt.Fprintf(o.stderr, "version=%d digest=%s by=%s at=%s\n", rel.Version, rel.Digest, rel.Author, rel.At.Format(time.RFC3339))
	o.printf("%s", d.Body())
	return nil
}

func (o *output) diff(ctx context.Context, p *platformFlags, args []string) error {
	if err := checkArgumentCount(args, 2, "two environments"); err != nil {
		return err
	}
	_, a, err := o.current(ctx, p, args[0])
	if err != nil {
		return err
	}
	_, b, err := o.current(ctx, p, args[1])
	if err != nil {
		return err
	}
	for _, line := range conf.DiffLines(string(a.Body()), string(b.Body())) {
		o.printf("%s\n", line)
	}
	return nil
}

func (o *output) history(ctx context.Context, p *platformFlags, args []string) error {
	if err := checkArgumentCount(args, 1, "an environment"); err != nil {
		return err
	}
	r, err := p.registry()
	if err != nil {
		return err
	}
	releases, err := r.History(ctx, args[0])
	if err != nil {
		return withChangeExit(err)
	}
	if p.json {
		return o.printJSON(releases)
	}
	w := tabwriter.NewWriter(o.stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tDIGEST\tBY\tAT\tFROM")
	for _, rel := range releases {
		fmt.Fprintf(w, "%d\t%.12s\t%s\t%s\t%s\n", rel.Version, rel.Digest, rel.Author, rel.At.Format(time.RFC3339), rel.PromotedFrom)
	}
	return w.Flush()
}

func (o *output) promote(ctx context.Context, p *platformFlags, args []string, digest string, version uint64, by string) error {
	if err := checkArgumentCount(args, 2, "two environments"); err != nil {
		return err
	}
	if digest == "" {
		return exitf(exitUsage, "-digest is needed: the digest that show printed of %s", args[0])
	}
	r, err := p.registry()
	if err != nil {
		return err
	}
	rel, err := r.Promote(ctx, args[0], args[1], digest, by, version)
	if err != nil {
		return withChangeExit(err)
	}
	return o.printRelease(p, rel)
}
