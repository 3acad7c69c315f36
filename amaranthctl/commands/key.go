package commands

import (
	"context"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/declaration"
)

// listedKey is a key of the output.
type listedKey struct {
	Workspace string          `json:"workspace"`
	Key       declaration.Key `json:"key"`
}

func (a *app) addKey(k *kingpin.Application) {
	command := k.Command("key", "Keys of the workspaces.")
	create := command.Command("create", "Create a key and show it once.")
	workspace := create.Arg("workspace", "Workspace.").Required().String()
	create.Action(a.action(func(ctx context.Context) error {
		return a.createKey(ctx, *workspace)
	}))
	revoke := command.Command("revoke", "Revoke a key.").Alias("withdraw")
	id := revoke.Arg("id", "Id of the key.").Required().String()
	revoke.Action(a.action(func(ctx context.Context) error {
		return a.edit(ctx, "revoke key "+*id, "", func(document *declaration.Document) error {
			return declaration.RevokeKey(document, *id)
		})
	}))
	list := command.Command("list", "List the keys.")
	list.Action(a.action(a.listKeys))
}

func (a *app) createKey(ctx context.Context, workspace string) error {
	issued := declaration.NewKey()
	err := a.edit(ctx, "create key "+issued.Key.ID+" of "+workspace, issued.Text, func(document *declaration.Document) error {
		return declaration.AddKey(document, workspace, issued.Key)
	})
	if codeOf(err) == exitUnknown {
		return eris.Wrapf(err, "key %s may exist, revoke it", issued.Key.ID)
	}
	return err
}

func (a *app) listKeys(ctx context.Context) error {
	document, err := a.current(ctx)
	if err != nil {
		return err
	}
	keys := []listedKey{}
	var rows [][]string
	for _, workspace := range document.Workspaces {
		for _, key := range workspace.Keys {
			keys = append(keys, listedKey{
				Workspace: workspace.Name,
				Key:       key,
			})
			rows = append(rows, []string{workspace.Name, key.ID, strconv.FormatBool(key.Revoked), key.Hash})
		}
	}
	return a.print([]string{"WORKSPACE", "ID", "REVOKED", "HASH"}, rows, keys)
}
