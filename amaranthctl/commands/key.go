package commands

import (
	"context"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/declaration"
)

// listedKey is a key in the JSON output of key list.
type listedKey struct {
	Workspace string          `json:"workspace"`
	Key       declaration.Key `json:"key"`
}

func (a *app) addKey(k *kingpin.Application) {
	command := k.Command("key", "Manage the keys of the workspaces.")
	create := command.Command("create", "Create a key and show it once.")
	workspace := create.Arg("workspace", "Workspace.").Required().String()
	create.Action(a.commandAction(func(ctx context.Context) error {
		return a.createKey(ctx, *workspace)
	}))
	revoke := command.Command("revoke", "Revoke a key.").Alias("withdraw")
	id := revoke.Arg("id", "ID of the key.").Required().String()
	revoke.Action(a.commandAction(func(ctx context.Context) error {
		return a.editDocument(ctx, "revoke key "+*id, "", func(document *declaration.Document) error {
			return declaration.RevokeKey(document, *id)
		})
	}))
	list := command.Command("list", "List the keys.")
	list.Action(a.commandAction(a.listKeys))
}

func (a *app) createKey(ctx context.Context, workspace string) error {
	issued := declaration.NewKey()
	err := a.editDocument(ctx, "create key "+issued.Key.ID+" of "+workspace, issued.Text, func(document *declaration.Document) error {
		return declaration.AddKey(document, workspace, issued.Key)
	})
	if exitCodeOf(err) == exitOutcomeUnknown {
		return eris.Wrapf(err, "key %s may have been created; revoke it", issued.Key.ID)
	}
	return err
}

func (a *app) listKeys(ctx context.Context) error {
	document, err := a.currentDocument(ctx)
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
	return a.printResult([]string{"WORKSPACE", "ID", "REVOKED", "HASH"}, rows, keys)
}
