//! Process settings and service files of flamingorock.
