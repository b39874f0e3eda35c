package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/operator"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	credentialVariable = "GUAVAGAUGE_CREDENTIAL"
	defaultOperator    = "127.0.0.1:8081"
	defaultWait        = 10 * time.Second
	timeLayout         = "2006-01-02 15:04:05Z"
)

// operatorFlags are common to all commands that call a running node.
type operatorFlags struct {
	address string
	tlsCA   string
	author  string
	wait    time.Duration
}

func newApply() *subcommand {
	f := &operatorFlags{}
	file, comment, dryRun, base, keys := "", "", false, 0, false
	c := f.subcommand("apply", "checks a fleet configuration and puts it in force",
		"  guavagauge apply fleet.toml --dry-run\n  guavagauge apply fleet.toml --base 17 --comment 'two engines more'\n\n"+
			"Keys stay as they are: see guavagauge key.",
		func(env environment, client *operator.Client) (err error) {
			if base < 0 {
				return usageError("--base %d: want a revision, as in guavagauge history", base)
			}
			text, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			reply, err := client.Apply(env.ctx, operator.ApplyRequest{
				File: file, Text: string(text), Base: uint64(base), Author: f.author, Comment: comment, DryRun: dryRun,
				Keys: keys,
			})
			if err != nil {
				return err
			}
			return f.report(env, client, reply, dryRun)
		})
	c.flags.AddPositionalValue(&file, "FILE", 1, true, "fleet configuration in TOML")
	c.flags.Bool(&keys, "k", "keys", "replace the keys by those of the file, withdrawn ones among them")
	c.flags.Bool(&dryRun, "n", "dry-run", "print the difference and change nothing")
	c.flags.Int(&base, "b", "base", "revision that the file was derived from; fails if another is in force")
	c.flags.String(&comment, "m", "comment", "comment for the history")
	return c
}

func newGet() *subcommand {
	f := &operatorFlags{}
	keys := false
	c := f.subcommand("get", "prints the newest configuration", "  guavagauge get > fleet.toml",
		func(env environment, client *operator.Client) (err error) {
			reply, err := client.Config(env.ctx, keys)
			if err != nil {
				return err
			}
			fmt.Fprintf(env.stderr, "revision %d\n", reply.Revision)
			fmt.Fprint(env.stdout, reply.Text)
			return nil
		})
	c.flags.Bool(&keys, "k", "keys", "print the keys' hashes too")
	return c
}

func newHistory() *subcommand {
	f := &operatorFlags{}
	limit := 20
	c := f.subcommand("history", "lists the newest revisions", "  guavagauge history --limit 5",
		func(env environment, client *operator.Client) (err error) {
			if limit < 1 {
				return usageError("--limit %d: want 1 or more", limit)
			}
			reply, err := client.History(env.ctx, limit)
			if err != nil {
				return err
			}
			for _, r := range reply.Revisions {
				fmt.Fprintf(env.stdout, "%-6d %s  %-12s %s (%d changed, %d deleted)\n",
					r.Revision, r.Time.UTC().Format(timeLayout), r.Author, r.Comment, len(r.Changed), len(r.Deleted))
			}
			return nil
		})
	c.flags.Int(&limit, "l", "limit", "number of revisions")
	return c
}

func newRollback() *subcommand {
	f := &operatorFlags{}
	revision := ""
	c := f.subcommand("rollback", "makes a new revision with the objects of an older one",
		"  guavagauge rollback 41\n\nKeys stay as they are, so that no withdrawn key comes back.",
		func(env environment, client *operator.Client) (err error) {
			to, err := strconv.ParseUint(revision, 10, 63)
			if err != nil || to == 0 {
				return usageError("REVISION %q: want a number, as in guavagauge history", revision)
			}
			reply, err := client.Rollback(env.ctx, operator.RollbackRequest{To: to, Author: f.author})
			if err != nil {
				return err
			}
			return f.report(env, client, reply, false)
		})
	c.flags.AddPositionalValue(&revision, "REVISION", 1, true, "revision to return to")
	return c
}

func newLabel() *subcommand {
	f := &operatorFlags{}
	kind, object, label := "", "", ""
	c := f.subcommand("label", "sets a label of an object, or removes it",
		"  guavagauge label upstream north/engine-1 pool=rulings\n  guavagauge label workspace south/beta tier=",
		func(env environment, client *operator.Client) (err error) {
			owner, name, ok := strings.Cut(object, "/")
			key, value, set := strings.Cut(label, "=")
			if !ok || !set {
				return usageError("want KIND OWNER/NAME KEY=VALUE, such as: upstream north/engine-1 pool=rulings")
			}
			reply, err := client.Label(env.ctx, operator.LabelRequest{
				Kind: kind, Owner: owner, Name: name, Key: key, Value: value, Author: f.author,
			})
			if err != nil {
				return err
			}
			return f.report(env, client, reply, false)
		})
	c.flags.AddPositionalValue(&kind, "KIND", 1, true, "owner, upstream, workspace, route, service, model or rule")
	c.flags.AddPositionalValue(&object, "OWNER/NAME", 2, true, "the object")
	c.flags.AddPositionalValue(&label, "KEY=VALUE", 3, true, "the label; an empty value removes it")
	return c
}

func newKey() *subcommand {
	c := newSubcommand("key", "issues, withdraws and lists the keys of workspaces",
		"  guavagauge key issue --owner north --workspace alpha\n  guavagauge key withdraw --owner north --name alpha-2026\n"+
			"  guavagauge key list", nil)
	c.sub = []*subcommand{newKeyIssue(), newKeyWithdraw(), newKeyList()}
	return c
}

func newKeyIssue() *subcommand {
	f := &operatorFlags{}
	request := &operator.KeyRequest{}
	c := f.subcommand("issue", "makes a new key and prints its secret, which is stored nowhere",
		"  guavagauge key issue --owner north --workspace alpha --name alpha-2026",
		func(env environment, client *operator.Client) (err error) {
			request.Author = f.author
			reply, err := client.IssueKey(env.ctx, *request)
			if err != nil {
				return err
			}
			fmt.Fprintln(env.stdout, reply.Secret)
			return f.await(env, client, reply.Revision)
		})
	c.flags.String(&request.Owner, "o", "owner", "owner of the workspace")
	c.flags.String(&request.Workspace, "w", "workspace", "name of the workspace")
	c.flags.String(&request.Name, "k", "name", "name of the key; a random one by default")
	return c
}

func newKeyWithdraw() *subcommand {
	f := &operatorFlags{}
	request := &operator.KeyRequest{}
	c := f.subcommand("withdraw", "makes a key invalid, and waits until all nodes know",
		"  guavagauge key withdraw --owner north --name alpha-2026",
		func(env environment, client *operator.Client) (err error) {
			request.Author = f.author
			reply, err := client.WithdrawKey(env.ctx, *request)
			if err != nil {
				return err
			}
			return f.report(env, client, reply, false)
		})
	c.flags.String(&request.Owner, "o", "owner", "owner of the key")
	c.flags.String(&request.Name, "k", "name", "name of the key")
	return c
}

func newKeyList() *subcommand {
	f := &operatorFlags{}
	return f.subcommand("list", "lists all keys without their secrets", "  guavagauge key list",
		func(env environment, client *operator.Client) (err error) {
			reply, err := client.Keys(env.ctx)
			if err != nil {
				return err
			}
			for _, key := range reply.Keys {
				fmt.Fprintf(env.stdout, "%-32s workspace %s\n", key.Owner+"/"+key.Name, key.Workspace)
			}
			return nil
		})
}

// subcommand returns a command that calls a running node.
func (f *operatorFlags) subcommand(name, description, examples string, run func(env environment, client *operator.Client) (err error)) *subcommand {
	f.address, f.wait, f.author = defaultOperator, defaultWait, currentUser()
	c := newSubcommand(name, description, examples+"\n\nThe operators' credential is read from "+credentialVariable+".",
		func(env environment) (err error) {
			address, err := netip.ParseAddrPort(f.address)
			if err != nil {
				return usageError("--operator %s: want an IP address and a port, such as %s", f.address, defaultOperator)
			}
			credential := os.Getenv(credentialVariable)
			if credential == "" {
				return usageError("set %s to the operators' credential", credentialVariable)
			}
			client := operator.NewClient(transport.TCP{}, address, credential)
			if f.tlsCA != "" {
				if err := useTLS(client, f.tlsCA); err != nil {
					return err
				}
			}
			return run(env, client)
		})
	c.flags.String(&f.address, "a", "operator", "operator listener of any node")
	c.flags.String(&f.tlsCA, "ca", "tls-ca", "PEM file of the authorities of a listener with TLS")
	c.flags.String(&f.author, "u", "author", "name for the history")
	c.flags.Duration(&f.wait, "t", "wait", "how long to wait until all nodes have a change")
	return c
}

// report prints a change and waits until it is in force.
func (f *operatorFlags) report(env environment, client *operator.Client, reply operator.ApplyReply, dryRun bool) (err error) {
	for _, change := range reply.Changes {
		fmt.Fprintln(env.stdout, change)
	}
	switch {
	case len(reply.Changes) == 0:
		fmt.Fprintf(env.stdout, "no difference from revision %d\n", reply.Revision)
		return nil
	case dryRun:
		fmt.Fprintf(env.stdout, "dry run: revision %d stays in force\n", reply.Revision)
		return nil
	}
	return f.await(env, client, reply.Revision)
}

// await reports in how many nodes a revision is in force, and names the others.
func (f *operatorFlags) await(env environment, client *operator.Client, revision uint64) (err error) {
	fmt.Fprintf(env.stderr, "revision %d accepted\n", revision)
	ctx, cancel := context.WithTimeout(env.ctx, f.wait)
	defer cancel()
	reply, err := client.AwaitInForce(ctx, revision)
	missing := append(reply.Behind, reply.Unreached...)
	if err != nil && len(missing) == 0 {
		return errors.Annotatef(err, "revision %d is accepted, but no node said whether it is in force", revision)
	}
	fmt.Fprintf(env.stderr, "revision %d in force on %d of %d nodes\n", revision, len(reply.Have), len(reply.Have)+len(missing))
	if len(reply.Removed) > 0 {
		fmt.Fprintf(env.stderr, "no longer live, and refusing keyed work if only cut off: %s\n", strings.Join(reply.Removed, ", "))
	}
	if len(missing) > 0 {
		return errors.Errorf("not yet in force on: %s", strings.Join(missing, ", "))
	}
	return nil
}

// useTLS makes the client accept certificates of the authorities in a file only.
func useTLS(client *operator.Client, file string) (err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return errors.Errorf("--tls-ca %s: holds no certificate in PEM", file)
	}
	client.UseTLS(&tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool})
	return nil
}

func currentUser() (name string) {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
