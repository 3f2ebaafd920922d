-- Tables of the database panel.
CREATE TABLE design_sheets (
  sheet text PRIMARY KEY,
  commission text NOT NULL,
  description text NOT NULL
);
CREATE TABLE progress_photos (
  photo text NOT NULL,
  commission text NOT NULL,
  address text NOT NULL
);
CREATE TABLE panels (
  panel text NOT NULL,
  commission text NOT NULL,
  setter text NOT NULL
);
CREATE INDEX panels_panel ON panels (panel);
