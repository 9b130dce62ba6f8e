//! Publishes a view to the traffic threads when its content has changed.

use std::sync::Arc;

use crate::control::Action;
use crate::control::tables::Tables;
use crate::{OwnerRoute, ServedDatabase, View};

pub(crate) fn run(tables: &mut Tables) {
    if !core::mem::take(&mut tables.view_changed) {
        return;
    }
    let view = build(tables);
    if tables.view.sequence > 0 && has_same_content(&view, &tables.view) {
        return;
    }
    tables.view = Arc::new(view);
    tables.counters.views_published += 1;
    tables.actions.push(Action::Publish(Arc::clone(&tables.view)));
}

fn build(tables: &Tables) -> View {
    let routes = tables.routes.iter().filter_map(|(&database, route)| {
        Some(OwnerRoute { database, owner: route.owner?, epoch: route.epoch })
    });
    let served = tables.owned.iter().map(|(&database, owned)| ServedDatabase {
        database,
        term: owned.term,
        primary_index: owned.primary(),
        admits: owned.admits(),
    });
    View {
        sequence: tables.view.sequence + 1,
        configuration: Arc::clone(&tables.configuration.current),
        owners: routes.collect(),
        served: served.collect(),
        leaving: tables.leaving.clone(),
        draining: tables.draining,
    }
}

fn has_same_content(left: &View, right: &View) -> bool {
    Arc::ptr_eq(&left.configuration, &right.configuration)
        && left.owners == right.owners
        && left.served == right.served
        && left.leaving == right.leaving
        && left.draining == right.draining
}
